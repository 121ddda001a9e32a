#include <LibConfiguration/ConfigurationCodec.h>

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

} // namespace verbenachute
