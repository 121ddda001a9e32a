#include "TestConfigurations.h"

#include <LibConfiguration/OperatorAnswers.h>
#include <LibConfiguration/OperatorRequestParser.h>

#include <rapidcheck.h>

namespace verbenachute {

namespace {

std::string
Body(const std::string& aChange)
{
  return R"({"operator":"ana","operation_id":"op-1","change":)" + aChange + "}";
}

constexpr const char* kLabelEdit =
  R"({"kind":"edit","edit":{"kind":"set_label","target":"t-1",)"
  R"("key":"tier","value":"gold"}})";

} // namespace

TEST_CASE("A change is read")
{
  const Result<OperatorChange> change =
    OperatorRequestParser::ParseChange(Body(kLabelEdit));
  REQUIRE(!IsError(change));
  CHECK(ValueOf(change).mRequest.mChange ==
        LabelRequest("op-1", "tier", "gold").mChange);
  CHECK(ValueOf(change).mDryRun == DryRun::No);
}

TEST_CASE("Changes that are not exactly right are refused")
{
  const std::string deep(100, '[');
  const std::vector<std::string> bodies = {
    "",
    "null",
    "[]",
    "{}",
    deep,
    "{\"operator\":\"ana\"",
    Body(kLabelEdit) + "x",
    Body("null"),
    Body("7"),
    Body(R"({"kind":"nope"})"),
    Body(R"({"kind":"edit"})"),
    Body(R"({"kind":"edit","edit":{"kind":"nope"}})"),
    Body(R"({"kind":"approve"})"),
    Body(R"({"kind":"approve","proposal":7})"),
    Body(R"({"kind":"approve","proposal":"p","x":1})"),
    Body(R"({"kind":"edit","edit":{"kind":"set_label","target":"t-1",)"
         R"("domain":"d","key":"a","value":"b"}})"),
    Body(R"({"kind":"edit","override":"yes","edit":)"
         R"({"kind":"remove_target","target":"t-1"}})"),
    Body(R"({"kind":"edit","edit":{"kind":"register_target","target":)"
         R"({"name":"t","service":"s","address":"127.0.0.1:1",)"
         R"("domain":"d","slots":1.5,"connections":1}}})"),
    R"({"operator":"a b","operation_id":"o","change":)" +
      std::string(kLabelEdit) + "}",
    R"({"operator":"ana","operator":"eve","operation_id":"o","change":)" +
      std::string(kLabelEdit) + "}",
  };
  for (const std::string& body : bodies) {
    CAPTURE(body);
    const Result<OperatorChange> change =
      OperatorRequestParser::ParseChange(body);
    REQUIRE(IsError(change));
    CHECK(OperatorAnswers::StatusOf(ErrorOf(change).mCode) == 400);
  }
  const Result<OperatorChange> large = OperatorRequestParser::ParseChange(
    std::string(OperatorRequestParser::kChangeBytes + 1, ' '));
  CHECK(ErrorOf(large).mCode == ErrorCode::TooLarge);
}

TEST_CASE("Questions are read strictly")
{
  struct Row
  {
    const char* mPath;
    OperatorRequestParser::Parameters mParameters;
    int mStatus;
  };
  const std::vector<Row> rows = {
    { "/v1/operator/status", {}, 200 },
    { "/v1/operator/status", { { "x", "1" } }, 400 },
    { "/v1/operator/explain", { { "target", "t-1" } }, 200 },
    { "/v1/operator/explain", {}, 400 },
    { "/v1/operator/explain", { { "target", "nope" } }, 404 },
    { "/v1/operator/history", { { "limit", "3" } }, 200 },
    { "/v1/operator/history", { { "limit", "-3" } }, 400 },
    { "/v1/operator/history", { { "limit", "99999999" } }, 400 },
    { "/v1/operator/watch", { { "after", "1" }, { "wait_ms", "1" } }, 200 },
    { "/v1/operator/targets", { { "service", "painel-doca" } }, 200 },
    { "/v1/operator/", {}, 404 },
    { "/v1/operator", {}, 404 },
    { "/", {}, 404 },
  };
  InForceTracker tracker;
  const OperatorContext context{
    SmallConfiguration(), Revision(1), std::nullopt, tracker, {}
  };
  for (const Row& row : rows) {
    CAPTURE(row.mPath);
    const Result<OperatorQuestion> question =
      OperatorRequestParser::ParseQuestion(row.mPath, row.mParameters);
    int status = 200;
    if (IsError(question)) {
      status = OperatorAnswers::StatusOf(ErrorOf(question).mCode);
    } else {
      const Result<Json::Value> answer =
        OperatorAnswers::Answer(ValueOf(question), context);
      status = IsError(answer)
                 ? OperatorAnswers::StatusOf(ErrorOf(answer).mCode)
                 : 200;
    }
    CHECK(status == row.mStatus);
  }
}

TEST_CASE("Hostile bytes never get past the parsers")
{
  CHECK(rc::check([] {
    std::string body = Body(kLabelEdit);
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, body.size());
    const std::string bytes = *rc::gen::arbitrary<std::string>();
    body.replace(at, *rc::gen::inRange<std::size_t>(0, 4), bytes);
    const Result<OperatorChange> change =
      OperatorRequestParser::ParseChange(body);
    if (!IsError(change)) {
      // What is read can be applied or is refused; nothing in between.
      const Result<ChangeOutcome> outcome = ConfigurationEditor::Apply(
        SmallConfiguration(), ValueOf(change).mRequest);
      const bool applied =
        !IsError(outcome) && ValueOf(outcome).mRevision == Revision(2);
      RC_ASSERT(IsError(outcome) != applied);
    }
    static_cast<void>(ConfigurationHead::Create(body));
    static_cast<void>(ConfigurationCodec::ParseDocument(bytes));
  }));
}

} // namespace verbenachute
