#include <LibOperator/ToolCommandTable.h>

#include <LibConfiguration/OperatorRequestParser.h>
#include <LibJson/JsonText.h>
#include <LibOperator/AnswerText.h>
#include <LibOperator/ChangeRequests.h>
#include <LibOperator/ToolFlagTable.h>

namespace verbenachute {

namespace {

constexpr std::uint64_t kLongestDeadlineMs = 600'000;
constexpr std::uint64_t kMostResults = 10'000;
constexpr std::size_t kAnyWords = 64;

HttpRequest
Question(const char* aTopic)
{
  HttpRequest request;
  request.mPath = std::string(OperatorRequestParser::kPathPrefix) + aTopic;
  return request;
}

void
AddParameter(const char* aFlag, const ToolInput& aInput, HttpRequest* aRequest)
{
  if (!aInput.Text(aFlag).empty()) {
    aRequest->mParameters[aFlag] = aInput.Text(aFlag);
  }
}

/// A function without capture for each command, since the table is constant.
template<std::size_t Size>
struct Name
{
  // NOLINTNEXTLINE(google-explicit-constructor): a literal becomes a Name.
  constexpr Name(const char (&aText)[Size]) { std::copy_n(aText, Size, mText); }
  char mText[Size]{};
};

template<Name Command>
HttpRequest
BuildEdit(ToolInput* aInput)
{
  return EditRequest(Command.mText, aInput);
}

template<Name Topic>
HttpRequest
BuildQuestion(ToolInput*)
{
  return Question(Topic.mText);
}

HttpRequest
BuildExplain(ToolInput* aInput)
{
  HttpRequest request = Question("explain");
  request.mParameters["target"] = aInput->Word(0);
  AddParameter("caller", *aInput, &request);
  return request;
}

HttpRequest
BuildTargets(ToolInput* aInput)
{
  HttpRequest request = Question("targets");
  AddParameter("service", *aInput, &request);
  AddParameter("caller", *aInput, &request);
  return request;
}

HttpRequest
BuildHistory(ToolInput* aInput)
{
  HttpRequest request = Question("history");
  request.mParameters["limit"] =
    std::to_string(aInput->Number("limit", 1, kMostResults));
  return request;
}

HttpRequest
BuildHistogram(ToolInput* aInput)
{
  if (aInput->Required("class").empty()) {
    return {};
  }
  HttpRequest request;
  request.mPath = "/metrics";
  return request;
}

HttpRequest
BuildQuery(ToolInput* aInput)
{
  Json::Value body;
  body["caller"] = aInput->Required("caller");
  body["class"] = aInput->Required("class");
  body["service"] = aInput->Word(0);
  body["query"] = aInput->Word(1);
  body["request_id"] = aInput->Required("request_id");
  body["deadline_ms"] =
    Json::UInt64(aInput->Number("deadline_ms", 1, kLongestDeadlineMs));
  body["limit"] = Json::UInt64(aInput->Number("limit", 1, kMostResults));
  body["idempotent"] = aInput->Flag("idempotent");
  HttpRequest request;
  request.mMethod = HttpMethod::Post;
  request.mPath = "/v1/query";
  request.mBody = CompactJson(body);
  return request;
}

HttpRequest
BuildBootstrap(ToolInput* aInput)
{
  static_cast<void>(aInput->Address("platform"));
  static_cast<void>(aInput->Required("file"));
  return {};
}

constexpr CommandKind kOperator = CommandKind::Operator;

// clang-format off
constexpr ToolCommand kCommands[] = {
  { "label set", "target|domain NAME KEY=VALUE", "sets a label", kOperator, 3, 3, BuildEdit<"label set">, ChangeText },
  { "label clear", "target|domain NAME KEY", "clears a label", kOperator, 3, 3, BuildEdit<"label clear">, ChangeText },
  { "label list", "", "lists the labels of targets", kOperator, 0, 0, BuildQuestion<"labels">, LabelsText },
  { "selector set", "NAME EXPRESSION serve_only|no_new_work|leave_alone [--callers A,B]", "sets a selector", kOperator, 3, 3, BuildEdit<"selector set">, ChangeText },
  { "selector remove", "NAME", "removes a selector", kOperator, 1, 1, BuildEdit<"selector remove">, ChangeText },
  { "selector list", "", "lists the selectors", kOperator, 0, 0, BuildQuestion<"selectors">, SelectorsText },
  { "selector explain", "TARGET [--caller ID]", "tells why a target may or may not serve", kOperator, 1, 1, BuildExplain, ExplainText },
  { "domain out", "NAME", "takes a failure domain out", kOperator, 1, 1, BuildEdit<"domain out">, ChangeText },
  { "domain in", "NAME", "brings a failure domain in", kOperator, 1, 1, BuildEdit<"domain in">, ChangeText },
  { "domain register", "NAME REGION", "adds a failure domain", kOperator, 2, 2, BuildEdit<"domain register">, ChangeText },
  { "domain list", "", "lists the failure domains and their labels", kOperator, 0, 0, BuildQuestion<"domains">, DomainsText },
  { "target register", "NAME --service S --address IP:PORT --domain D --slots N --connections N", "adds or changes a target", kOperator, 1, 1, BuildEdit<"target register">, ChangeText },
  { "target remove", "NAME", "removes a target", kOperator, 1, 1, BuildEdit<"target remove">, ChangeText },
  { "policy set", "--file FILE", "replaces the rules of who may steer what", kOperator, 0, 0, BuildEdit<"policy set">, ChangeText },
  { "policy show", "", "shows the rules", kOperator, 0, 0, BuildQuestion<"policy">, DocumentText },
  { "propose", "COMMAND...", "leaves a change for approval, such as: propose domain out caxias-a", kOperator, 2, kAnyWords, ProposeRequest, ChangeText },
  { "approve", "PROPOSAL", "makes a proposed change", kOperator, 1, 1, ApproveRequest, ChangeText },
  { "reject", "PROPOSAL", "drops a proposed change", kOperator, 1, 1, RejectRequest, ChangeText },
  { "pending", "", "lists the proposals", kOperator, 0, 0, BuildQuestion<"pending">, PendingText },
  { "status", "", "tells which revision is in force and who lags", kOperator, 0, 0, BuildQuestion<"status">, StatusText },
  { "history", "[--limit N]", "lists the latest changes", kOperator, 0, 0, BuildHistory, HistoryText },
  { "nodes", "", "lists the nodes and their revisions", kOperator, 0, 0, BuildQuestion<"nodes">, NodesText },
  { "targets", "[--service S] [--caller ID]", "lists the targets", kOperator, 0, 0, BuildTargets, TargetsText },
  { "document", "", "shows the whole configuration", kOperator, 0, 0, BuildQuestion<"document">, DocumentText },
  { "watch", "[--updates N]", "shows the status at each change", CommandKind::Watch, 0, 0, BuildQuestion<"watch">, StatusText },
  { "query", "SERVICE TEXT --caller ID --class C", "runs a query", CommandKind::Query, 2, 2, BuildQuery, QueryText },
  { "histogram", "--class C --caller_address IP:PORT", "draws the latencies of a class over the nodes", CommandKind::Caller, 0, 0, BuildHistogram, DocumentText },
  { "bootstrap", "--platform IP:PORT --file FILE", "writes the first configuration to an empty store", CommandKind::Bootstrap, 0, 0, BuildBootstrap, ChangeText },
};
// clang-format on

std::vector<std::string>
WordsOf(std::string_view aName)
{
  const std::size_t space = aName.find(' ');
  if (space == std::string_view::npos) {
    return { std::string(aName) };
  }
  return { std::string(aName.substr(0, space)),
           std::string(aName.substr(space + 1)) };
}

Error
Invalid(std::string aMessage)
{
  return Error{
    Step::Settings, ErrorCode::InvalidInput, "", std::move(aMessage)
  };
}

} // namespace

std::span<const ToolCommand>
ToolCommandTable()
{
  return kCommands;
}

Result<std::pair<const ToolCommand*, ToolInput>>
FindCommand(const ToolInput& aInput)
{
  const std::vector<std::string>& words = aInput.Words();
  for (const ToolCommand& command : kCommands) {
    const std::vector<std::string> name = WordsOf(command.mName);
    if (words.size() < name.size() ||
        !std::equal(name.begin(), name.end(), words.begin())) {
      continue;
    }
    const std::vector<std::string> rest(
      words.begin() + static_cast<std::ptrdiff_t>(name.size()), words.end());
    if (rest.size() < command.mLeastWords || rest.size() > command.mMostWords) {
      return Invalid(std::string("usage: verbenachute ") + command.mName + " " +
                     command.mArguments);
    }
    return std::make_pair(&command, aInput.WithWords(rest));
  }
  return Invalid(words.empty() ? "no command is given; --help lists them"
                               : "'" + words.front() +
                                   "' begins no command; --help lists them");
}

std::string
ToolUsage()
{
  std::string text = "steers and asks verbenachute.\n\nCommands:\n";
  for (const ToolCommand& command : kCommands) {
    text += std::string("  ") + command.mName + " " + command.mArguments +
            "\n      " + command.mMeaning + "\n";
  }
  text += "\nFlags, each also an environment variable, VERBENACHUTE_ and the "
          "name in capitals:\n";
  for (const ToolFlag& flag : ToolFlagTable()) {
    text += std::string("  --") + flag.mName + "\n      " + flag.mMeaning;
    text += flag.mDefault[0] == '\0'
              ? std::string("\n")
              : std::string("; default: ") + flag.mDefault + "\n";
  }
  return text + "\nExit status: 0 done, 1 unknown flag, 2 bad input, 3 not "
                "found, 4 forbidden,\n5 conflict, 6 outcome unknown, 7 "
                "unavailable, 8 internal error, 9 incomplete.\n";
}

} // namespace verbenachute
