#include "Tool.h"

#include <LibConfiguration/ConfigurationCodec.h>
#include <LibConfiguration/OperatorAnswers.h>
#include <LibConfiguration/OperatorRequestParser.h>
#include <LibCore/SocketAddressText.h>
#include <LibJson/JsonText.h>
#include <LibOperator/AnswerText.h>
#include <LibOperator/MetricsText.h>
#include <LibOperator/ToolCommandTable.h>
#include <LibOperator/WriteRunner.h>
#include <LibPlatform/PlatformClient.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace verbenachute {

namespace {

constexpr std::uint64_t kLongestTimeoutMs = 3'600'000;
constexpr std::size_t kAnswerBytes = 64'000'000;
constexpr Duration kWatchWait = seconds(10);
/// Time that a node may take to answer beyond the wait that it was asked for.
constexpr Duration kWatchMargin = seconds(5);

Duration
TimeoutOf(ToolInput* aInput)
{
  return milliseconds(aInput->Number("timeout_ms", 1, kLongestTimeoutMs));
}

void
PrintText(const std::string& aText)
{
  std::fwrite(aText.data(), 1, aText.size(), stdout);
  std::fflush(stdout);
}

/// The error that a node told in its answer, with its own step and peer.
Error
ErrorOfAnswer(const Json::Value& aAnswer, const SocketAddress& aNode)
{
  const Json::Value& told = aAnswer["error"];
  Error error;
  error.mStep = Step::Route;
  error.mCode = ErrorCode::Internal;
  error.mPeer = SocketAddressText(aNode);
  error.mMessage = ErrorText(aAnswer);
  for (int i = 0; i <= static_cast<int>(ErrorCode::Internal); ++i) {
    if (told["code"].isString() &&
        told["code"].asString() == ErrorCodeName(ErrorCode(i))) {
      error.mCode = ErrorCode(i);
    }
  }
  return error;
}

ExitStatus
StatusOfAnswer(const Json::Value& aAnswer)
{
  const bool lags = aAnswer["lagging"].isArray() && !aAnswer["lagging"].empty();
  const Json::Value& missing = aAnswer["coverage"]["missing"];
  return lags || (missing.isArray() && !missing.empty())
           ? ExitStatus::Incomplete
           : ExitStatus::Done;
}

/// A name that no other operation has: who, when, and which process.
std::string
DrawnName(const EventLoop& aLoop)
{
  return "tool-" + std::to_string(aLoop.SystemTime().WallTime().count()) + "-" +
         std::to_string(getpid());
}

Result<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::string text{ std::istreambuf_iterator<char>(file),
                    std::istreambuf_iterator<char>() };
  if (!file) {
    return Error{ Step::Settings,
                  ErrorCode::InvalidInput,
                  "",
                  "--file: '" + aPath + "' can't be read" };
  }
  return text;
}

} // namespace

Tool::Tool(EventLoop& aLoop, OperatorClient& aClient)
  : mLoop(aLoop)
  , mClient(aClient)
{
}

ExitStatus
Tool::Run(const ToolInput& aInput)
{
  ToolInput named = aInput;
  for (const char* flag : { "operation_id", "request_id" }) {
    if (named.Text(flag).empty()) {
      named.Set(flag, DrawnName(mLoop));
    }
  }
  const std::string& output = named.Text("output");
  if (output != "text" && output != "json") {
    named.Fail("--output is '" + output + "' and must be text or json");
  }
  Result<std::pair<const ToolCommand*, ToolInput>> found = FindCommand(named);
  if (IsError(found)) {
    return Fail(ErrorOf(found), named);
  }
  auto [command, input] = ReleaseValue(std::move(found));
  const HttpRequest request = command->mBuild(&input);
  static_cast<void>(TimeoutOf(&input));
  if (command->mKind == CommandKind::Operator ||
      command->mKind == CommandKind::Watch) {
    static_cast<void>(input.Address("node"));
  }
  const Result<Success> checked = input.Check();
  if (IsError(checked)) {
    return Fail(ErrorOf(checked), input);
  }
  switch (command->mKind) {
    case CommandKind::Operator:
      return RunOnce(*command, request, &input);
    case CommandKind::Caller:
      return RunHistogram(request, &input);
    case CommandKind::Watch:
      return RunWatch(*command, request, &input);
    case CommandKind::Query:
      return RunQuery(*command, request, &input);
    case CommandKind::Bootstrap:
      return RunBootstrap(&input);
  }
  return ExitStatus::Internal;
}

ExitStatus
Tool::RunOnce(const ToolCommand& aCommand,
              const HttpRequest& aRequest,
              ToolInput* aInput)
{
  const Result<Json::Value> answer =
    Ask(aInput->Address("node"), aRequest, TimeoutOf(aInput));
  if (IsError(answer)) {
    return Fail(ErrorOf(answer), *aInput);
  }
  Print(aCommand, ValueOf(answer), *aInput);
  return StatusOfAnswer(ValueOf(answer));
}

ExitStatus
Tool::RunWatch(const ToolCommand& aCommand,
               HttpRequest aRequest,
               ToolInput* aInput)
{
  const std::uint64_t updates = aInput->Number("updates", 0, UINT32_MAX);
  const std::string wait = std::to_string(
    std::chrono::duration_cast<milliseconds>(kWatchWait).count());
  Json::Value last;
  for (std::uint64_t shown = 0; updates == 0 || shown < updates;) {
    aRequest.mParameters["wait_ms"] = wait;
    const Result<Json::Value> answer =
      Ask(aInput->Address("node"), aRequest, kWatchWait + kWatchMargin);
    if (IsError(answer)) {
      return Fail(ErrorOf(answer), *aInput);
    }
    // The age of the confirmation changes all the time and is no news.
    Json::Value news = ValueOf(answer);
    news.removeMember("confirmed_ms_ago");
    if (news != last) {
      Print(aCommand, ValueOf(answer), *aInput);
      last = news;
      ++shown;
    }
    aRequest.mParameters["after"] = news["revision"].asString();
  }
  return ExitStatus::Done;
}

ExitStatus
Tool::RunQuery(const ToolCommand& aCommand,
               HttpRequest aRequest,
               ToolInput* aInput)
{
  const SocketAddress asked = aInput->Address("caller_address");
  const Duration timeout = TimeoutOf(aInput);
  HttpRequest question;
  question.mPath = "/v1/addresses";
  question.mParameters["caller"] = aInput->Text("caller");
  Result<Success> checked = aInput->Check();
  if (IsError(checked)) {
    return Fail(ErrorOf(checked), *aInput);
  }
  const Result<Json::Value> addresses = Ask(asked, question, timeout);
  if (IsError(addresses)) {
    return Fail(ErrorOf(addresses), *aInput);
  }
  Result<Json::Value> body = ParseJson(aRequest.mBody, kAnswerBytes);
  Json::Value query = ReleaseValue(std::move(body));
  query["ticket"] = aInput->Text("ticket").empty()
                      ? ValueOf(addresses)["ticket"]
                      : Json::Value(aInput->Text("ticket"));
  aRequest.mBody = CompactJson(query);
  Error last{ Step::Route, ErrorCode::Unavailable, "", "no address was given" };
  for (const Json::Value& text : ValueOf(addresses)["addresses"]) {
    const Result<SocketAddress> address = ParseSocketAddress(text.asString());
    if (IsError(address)) {
      continue;
    }
    const Result<Json::Value> answer = Ask(ValueOf(address), aRequest, timeout);
    if (!IsError(answer)) {
      Print(aCommand, ValueOf(answer), *aInput);
      return StatusOfAnswer(ValueOf(answer));
    }
    last = ErrorOf(answer);
    // Another node is tried only where this one has seen nothing of it.
    if (last.mCode != ErrorCode::Unreachable) {
      break;
    }
  }
  return Fail(last, *aInput);
}

ExitStatus
Tool::RunHistogram(const HttpRequest& aRequest, ToolInput* aInput)
{
  const SocketAddress asked = aInput->Address("caller_address");
  const Duration timeout = TimeoutOf(aInput);
  const Result<Success> checked = aInput->Check();
  if (IsError(checked)) {
    return Fail(ErrorOf(checked), *aInput);
  }
  HttpRequest question;
  question.mPath = "/v1/addresses";
  question.mParameters["caller"] = "verbenachute-tool";
  const Result<Json::Value> addresses = Ask(asked, question, timeout);
  if (IsError(addresses)) {
    return Fail(ErrorOf(addresses), *aInput);
  }
  std::vector<std::string> metrics;
  for (const Json::Value& text : ValueOf(addresses)["addresses"]) {
    const Result<SocketAddress> address = ParseSocketAddress(text.asString());
    if (IsError(address)) {
      continue;
    }
    const Result<HttpReply> reply =
      mClient.Call(ValueOf(address), aRequest, timeout);
    if (IsError(reply)) {
      std::fprintf(stderr,
                   "verbenachute: left out: %s: %s\n",
                   text.asString().c_str(),
                   ErrorOf(reply).mMessage.c_str());
      continue;
    }
    metrics.push_back(ValueOf(reply).mBody);
  }
  const Result<std::string> drawing =
    HistogramText(metrics, aInput->Text("class"));
  if (IsError(drawing)) {
    return Fail(ErrorOf(drawing), *aInput);
  }
  PrintText(ValueOf(drawing));
  return ExitStatus::Done;
}

ExitStatus
Tool::RunBootstrap(ToolInput* aInput)
{
  const Result<std::string> text = ReadFile(aInput->Text("file"));
  if (IsError(text)) {
    return Fail(ErrorOf(text), *aInput);
  }
  const Result<std::shared_ptr<const Configuration>> read =
    ConfigurationCodec::ParseDocument(ValueOf(text));
  if (IsError(read)) {
    return Fail(ErrorOf(read), *aInput);
  }
  const UnixMilliseconds wallTime = mLoop.SystemTime().WallTime();
  const std::string name = aInput->Text("operator");
  const NodeIdentity self{
    NodeName("tool"), Incarnation(static_cast<std::uint64_t>(wallTime.count()))
  };
  PlatformClient platform(mLoop, aInput->Address("platform"));
  std::optional<Result<WriteOutcome>> outcome;
  WriteRunner::Run(mLoop,
                   platform,
                   ConfigurationWriter(
                     self,
                     static_cast<std::uint64_t>(getpid()),
                     Bootstrap{ ValueOf(read),
                                OperatorName(name.empty() ? "bootstrap" : name),
                                wallTime },
                     {}),
                   [&](const Result<WriteOutcome>& aOutcome) {
                     outcome = aOutcome;
                     mLoop.Stop();
                   });
  if (!outcome) {
    mLoop.Run();
  }
  if (!outcome || IsError(*outcome)) {
    return Fail(outcome ? ErrorOf(*outcome)
                        : Error{ Step::Store,
                                 ErrorCode::OutcomeUnknown,
                                 "platform",
                                 "the wait was interrupted" },
                *aInput);
  }
  const WriteOutcome& written = ValueOf(*outcome);
  PrintText(std::string(written.mWritten ? "written" : "already written") +
            " as revision " +
            std::to_string(written.mChange.mRevision.value()) + "\n");
  return ExitStatus::Done;
}

Result<Json::Value>
Tool::Ask(const SocketAddress& aNode,
          const HttpRequest& aRequest,
          Duration aTimeout)
{
  const Result<HttpReply> reply = mClient.Call(aNode, aRequest, aTimeout);
  if (IsError(reply)) {
    return ErrorOf(reply);
  }
  Result<Json::Value> answer = ParseJson(ValueOf(reply).mBody, kAnswerBytes);
  if (IsError(answer)) {
    return Error{ Step::Route,
                  ErrorCode::Internal,
                  SocketAddressText(aNode),
                  "status " + std::to_string(ValueOf(reply).mStatus) +
                    ", and the answer is no JSON; is this the right port?" };
  }
  if (ValueOf(answer).isObject() && ValueOf(answer).isMember("error")) {
    return ErrorOfAnswer(ValueOf(answer), aNode);
  }
  return answer;
}

void
Tool::Print(const ToolCommand& aCommand,
            const Json::Value& aAnswer,
            const ToolInput& aInput) const
{
  PrintText(aInput.Text("output") == "json" ? CompactJson(aAnswer) + "\n"
                                            : aCommand.mRender(aAnswer));
}

ExitStatus
Tool::Fail(const Error& aError, const ToolInput& aInput) const
{
  if (aInput.Text("output") == "json") {
    PrintText(CompactJson(OperatorAnswers::ErrorAnswer(aError)) + "\n");
  }
  std::fprintf(stderr,
               "verbenachute: %s%s%s\n",
               aError.mPeer.c_str(),
               aError.mPeer.empty() ? "" : ": ",
               aError.mMessage.c_str());
  if (aError.mCode == ErrorCode::OutcomeUnknown) {
    std::fprintf(stderr,
                 "verbenachute: repeat it with --operation_id=%s\n",
                 aInput.Text("operation_id").c_str());
  }
  return ExitStatusOf(aError.mCode);
}

} // namespace verbenachute
