#include <LibConfiguration/OperatorRequestParser.h>
#include <LibOperator/AnswerText.h>
#include <LibOperator/MetricsText.h>
#include <LibOperator/ToolCommandTable.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

ToolInput
InputOf(std::vector<std::string> aWords, const ToolInput::Flags& aGiven = {})
{
  const char* const environment[] = { nullptr };
  ToolInput::Flags flags = ValueOf(ToolInput::MergeFlags(environment, aGiven));
  flags.insert(aGiven.begin(), aGiven.end());
  ToolInput input(std::move(aWords), flags);
  for (const char* flag : { "operator", "operation_id" }) {
    if (input.Text(flag).empty()) {
      input.Set(flag, "ana");
    }
  }
  return input;
}

} // namespace

TEST_CASE("Each command builds a request that the node understands")
{
  const ToolInput::Flags target{ { "service", "s" },
                                 { "address", "127.0.0.1:1" },
                                 { "domain", "d" },
                                 { "slots", "2" },
                                 { "connections", "3" } };
  struct Row
  {
    std::vector<std::string> mWords;
    ToolInput::Flags mFlags;
  };
  const std::vector<Row> rows = {
    { { "label", "set", "target", "t", "a=b" }, {} },
    { { "label", "clear", "domain", "d", "a" }, {} },
    { { "label", "list" }, {} },
    { { "selector", "set", "s", "a=b", "serve_only" },
      { { "callers", "x,y" } } },
    { { "selector", "remove", "s" }, {} },
    { { "selector", "list" }, {} },
    { { "selector", "explain", "t" }, { { "caller", "x" } } },
    { { "domain", "out", "d" }, { { "dry_run", "true" } } },
    { { "domain", "in", "d" }, { { "override", "true" } } },
    { { "domain", "register", "d", "r" }, {} },
    { { "domain", "list" }, {} },
    { { "target", "register", "t" }, target },
    { { "target", "remove", "t" }, {} },
    { { "policy", "show" }, {} },
    { { "propose", "domain", "out", "d" }, {} },
    { { "propose", "target", "register", "t" }, target },
    { { "approve", "p" }, {} },
    { { "reject", "p" }, {} },
    { { "pending" }, {} },
    { { "status" }, {} },
    { { "history" }, {} },
    { { "nodes" }, {} },
    { { "targets" }, {} },
    { { "document" }, {} },
    { { "watch" }, {} },
  };
  for (const Row& row : rows) {
    CAPTURE(row.mWords.front());
    Result<std::pair<const ToolCommand*, ToolInput>> found =
      FindCommand(InputOf(row.mWords, row.mFlags));
    REQUIRE(!IsError(found));
    auto [command, input] = ReleaseValue(std::move(found));
    const HttpRequest request = command->mBuild(&input);
    CHECK(!IsError(input.Check()));
    if (request.mMethod == HttpMethod::Post) {
      CHECK(!IsError(OperatorRequestParser::ParseChange(request.mBody)));
    } else {
      CHECK(!IsError(OperatorRequestParser::ParseQuestion(
        request.mPath, request.mParameters)));
    }
    // Answers that lack fields, as another version may send them, are shown.
    static_cast<void>(command->mRender(Json::Value(Json::objectValue)));
  }
}

TEST_CASE("Wrong words and flags are refused")
{
  const std::vector<std::vector<std::string>> unknown = {
    {},
    { "nope" },
    { "label" },
    { "label", "set", "target", "t" },
    { "status", "x" }
  };
  for (const std::vector<std::string>& words : unknown) {
    CHECK(IsError(FindCommand(InputOf(words))));
  }
  struct Row
  {
    std::vector<std::string> mWords;
    ToolInput::Flags mFlags;
  };
  const std::vector<Row> rows = {
    { { "label", "set", "target", "t", "a" }, {} },
    { { "label", "set", "node", "t", "a=b" }, {} },
    { { "selector", "set", "s", "a=", "no_new_work" }, {} },
    { { "selector", "set", "s", "a=b", "stop" }, {} },
    { { "target", "register", "t" }, {} },
    { { "domain", "out", "d" }, { { "dry_run", "yes" } } },
    { { "propose", "status", "x" }, {} },
    { { "propose", "domain", "out" }, {} },
    { { "history" }, { { "limit", "many" } } },
    { { "policy", "set" }, { { "file", "/nonexistent/policy.json" } } },
  };
  for (const Row& row : rows) {
    CAPTURE(row.mWords.back());
    Result<std::pair<const ToolCommand*, ToolInput>> found =
      FindCommand(InputOf(row.mWords, row.mFlags));
    REQUIRE(!IsError(found));
    auto [command, input] = ReleaseValue(std::move(found));
    static_cast<void>(command->mBuild(&input));
    CHECK(IsError(input.Check()));
  }
}

TEST_CASE("Variables are read, and unknown ones with the prefix refused")
{
  const char* const known[] = { "VERBENACHUTE_NODE=127.0.0.1:1",
                                "VERBENACHUTE_FAILURE_DOMAIN=caxias-a",
                                "HOME=/",
                                nullptr };
  const Result<ToolInput::Flags> flags =
    ToolInput::MergeFlags(known, { { "output", "json" } });
  REQUIRE(!IsError(flags));
  CHECK(ValueOf(flags).at("node") == "127.0.0.1:1");
  CHECK(ValueOf(flags).at("output") == "json");
  const char* const unknown[] = { "VERBENACHUTE_NODES=127.0.0.1:1", nullptr };
  CHECK(IsError(ToolInput::MergeFlags(unknown, {})));
}

TEST_CASE("Histograms of nodes are added up")
{
  const std::string metrics =
    "verbenachute_class_latency_seconds_bucket{class=\"field\",le=\"0.001\"} "
    "1\n"
    "verbenachute_class_latency_seconds_bucket{class=\"field\",le=\"0.002\"} "
    "5\n"
    "verbenachute_class_latency_seconds_bucket{class=\"audit\",le=\"0.002\"} "
    "9\n"
    "verbenachute_class_latency_seconds_bucket{class=\"field\",le=\"+Inf\"} 5\n"
    "broken{\n";
  const Result<std::string> text = HistogramText({ metrics, metrics }, "field");
  REQUIRE(!IsError(text));
  CHECK(ValueOf(text).starts_with("class field, 10 queries"));
  CHECK(ValueOf(text).find(" 2.000 ms          8 ####") != std::string::npos);
  CHECK(IsError(HistogramText({ metrics }, "none")));
}

} // namespace verbenachute
