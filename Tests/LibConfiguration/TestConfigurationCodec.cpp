#include <LibConfiguration/ConfigurationCodec.h>
#include <LibConfiguration/ConfigurationEditor.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr const char* kDocument = R"({
  "domains": [
    {"name":"caxias-a","region":"sul-rs","labels":{"power":"grid"}},
    {"name":"bento-c","region":"sul-rs","state":"out"}],
  "targets": [
    {"name":"t-1","service":"painel-doca","address":"127.0.0.1:9001",
     "domain":"caxias-a","slots":2,"connections":25},
    {"name":"t-2","service":"painel-doca","address":"127.0.0.1:9002",
     "domain":"bento-c","slots":2,"connections":25}],
  "labels": [{"target":"t-1","labels":{"tier":"gold"}}],
  "selectors": [{"name":"gold","matches":"tier=gold","effect":"serve_only",
                 "callers":["van-2","van-1"]}],
  "policy": [{"name":"r","operators":["*"],"scopes":["labels","domains"],
              "label_keys":["tier"],"domains":["*"]}]})";

} // namespace

TEST_CASE("A document is cut into parts and put together again")
{
  const Result<std::shared_ptr<const Configuration>> read =
    ConfigurationCodec::ParseDocument(kDocument);
  REQUIRE_MESSAGE(!IsError(read),
                  (IsError(read) ? ErrorOf(read).mMessage : ""));
  const Configuration& configuration = *ValueOf(read);
  CHECK(configuration.CurrentRevision() == Revision(1));
  CHECK(configuration.MayTakeNewWork(TargetName("t-1"), CallerId("van-1"))
          .mAdmittance == Admittance::Admitted);
  CHECK(configuration.MayTakeNewWork(TargetName("t-1"), CallerId("van-9"))
          .mAdmittance == Admittance::NotForCaller);
  CHECK(configuration.MayTakeNewWork(TargetName("t-2"), CallerId("van-1"))
          .mAdmittance == Admittance::NoNewWork);

  const Result<EncodedConfiguration> encoded =
    ConfigurationCodec::Encode(configuration, {}, PartTag("a"));
  REQUIRE(!IsError(encoded));
  const Result<ConfigurationHead> head =
    ConfigurationHead::Create(ValueOf(encoded).mHead.Text());
  REQUIRE(!IsError(head));
  CHECK(ValueOf(head) == ValueOf(encoded).mHead);
  const Result<std::shared_ptr<const Configuration>> again =
    ConfigurationCodec::Decode(ValueOf(head), ValueOf(encoded).mParts);
  REQUIRE(!IsError(again));
  CHECK(ConfigurationCodec::DocumentText(*ValueOf(again)) ==
        ConfigurationCodec::DocumentText(configuration));
}

TEST_CASE("A configuration of the planned size fits the store in parts")
{
  constexpr int kTargets = 84'000;
  constexpr int kDomains = 14;
  ConfigurationContent content;
  content.mRevision = Revision(1);
  std::vector<TargetEntry> targets;
  std::map<TargetName, LabelSet> labels;
  for (int i = 0; i < kDomains; ++i) {
    const FailureDomain domain("domain-" + std::to_string(i));
    content.mDomains[domain] = { domain, Region("r"), DomainState::In };
  }
  for (int i = 0; i < kTargets; ++i) {
    const TargetName name("target-" + std::to_string(i));
    targets.push_back({ name,
                        ServiceName("s-" + std::to_string(i % 40)),
                        { "10.0.0.1", 9'000 },
                        FailureDomain("domain-" + std::to_string(i % kDomains)),
                        2,
                        25 });
    labels[name] = { { "tier", "gold" } };
  }
  content.mTargetLabels = LabelTable(labels);
  content.mTargets = std::make_shared<TargetTable>(std::move(targets));
  const Result<std::shared_ptr<const Configuration>> first =
    Configuration::Create(std::move(content));
  REQUIRE(!IsError(first));
  const EncodedConfiguration encoded =
    ValueOf(ConfigurationCodec::Encode(*ValueOf(first), {}, PartTag("a")));
  for (const auto& [name, text] : encoded.mParts) {
    CHECK(text->size() <= kStoreValueBytes);
  }
  CHECK(encoded.mHead.Text().size() <= kStoreValueBytes);

  // One label more changes one part of labels and adds one of the history.
  const ChangeRequest request{ OperationId("o"),
                               OperatorName("ana"),
                               MakeEdit{ SetLabel{
                                 TargetName("target-7"), "state", "new" } },
                               {},
                               {} };
  const Result<ChangeOutcome> changed =
    ConfigurationEditor::Apply(ValueOf(first), request);
  REQUIRE(!IsError(changed));
  const EncodedConfiguration next = ValueOf(ConfigurationCodec::Encode(
    *ValueOf(changed).mConfiguration, encoded.mHead, PartTag("b")));
  int fresh = 0;
  for (const PartName& name : next.mHead.mParts) {
    fresh += name.mTag == PartTag("b") ? 1 : 0;
  }
  CHECK(fresh == 2);
  CHECK(next.mHead.mRetired.size() == 1);
}

TEST_CASE("What is damaged or not whole is refused")
{
  const EncodedConfiguration encoded = ValueOf(ConfigurationCodec::Encode(
    *ValueOf(ConfigurationCodec::ParseDocument(kDocument)), {}, PartTag("a")));
  const std::string text = encoded.mHead.Text();
  for (std::size_t i = 0; i < text.size(); ++i) {
    std::string damaged = text;
    damaged[i] = static_cast<char>(damaged[i] ^ 1);
    CAPTURE(i);
    CHECK(IsError(ConfigurationHead::Create(damaged)));
    CHECK(IsError(ConfigurationHead::Create(text.substr(0, i))));
  }
  for (const PartName& name : encoded.mHead.mParts) {
    ConfigurationParts parts = encoded.mParts;
    parts[name] = std::make_shared<const std::string>(*parts[name] + " ");
    CHECK(IsError(ConfigurationCodec::Decode(encoded.mHead, parts)));
    parts.erase(name);
    CHECK(IsError(ConfigurationCodec::Decode(encoded.mHead, parts)));
  }
}

TEST_CASE("Documents that contradict themselves are refused")
{
  constexpr const char* kDomain = R"("domains":[{"name":"d","region":"r"}],)";
  constexpr const char* kTarget =
    R"({"name":"t","service":"s","address":"127.0.0.1:1","domain":"d",)"
    R"("slots":1,"connections":1})";
  const std::vector<std::string> documents = {
    R"({"x":[]})",
    R"({"format":2})",
    R"({"domains":{}})",
    R"({"domains":[{"name":"d"}]})",
    R"({"domains":[{"name":"d","region":"r","state":"off"}]})",
    R"({"domains":[{"name":"d","region":"r"},{"name":"d","region":"r"}]})",
    std::string(R"({"targets":[)") + kTarget + "]}",
    std::string("{") + kDomain + R"("targets":[)" + kTarget + "," + kTarget +
      "]}",
    std::string("{") + kDomain + R"("labels":[{"target":"t","labels":{}}]})",
    R"({"selectors":[{"name":"s","matches":"(","effect":"no_new_work"}]})",
    R"({"selectors":[{"name":"s","matches":"*","effect":"serve_only"}]})",
    R"({"policy":[{"name":"p","operators":[],"scopes":["labels"]}]})",
    R"({"policy":[{"name":"p","operators":["a"],"scopes":["all"]}]})",
  };
  for (const std::string& document : documents) {
    CAPTURE(document);
    CHECK(IsError(ConfigurationCodec::ParseDocument(document)));
  }
}

} // namespace verbenachute
