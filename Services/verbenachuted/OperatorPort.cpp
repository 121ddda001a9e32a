#include "OperatorPort.h"

#include <LibJson/JsonText.h>

#include <utility>

namespace verbenachute {

namespace {

constexpr std::size_t kMaximumWaitingChanges = 64;
constexpr std::size_t kMaximumWaitingWatches = 64;
constexpr int kMethodNotAllowed = 405;

HttpReply
JsonReply(int aStatus, const Json::Value& aBody)
{
  return HttpReply{ aStatus, "application/json", CompactJson(aBody) };
}

Error
Fault(ErrorCode aCode, std::string aMessage)
{
  return Error{ Step::Admission, aCode, "", std::move(aMessage) };
}

} // namespace

Result<std::unique_ptr<OperatorPort>>
OperatorPort::Create(const NodeIdentity& aSelf,
                     const SocketAddress& aAddress,
                     Dependencies aDependencies)
{
  HttpLimits limits;
  // Twice the largest change, so that the parser can report what is too large.
  limits.mBodyBytes = 2 * OperatorRequestParser::kChangeBytes;
  Result<std::unique_ptr<HttpServer>> server = HttpServer::Create(
    aDependencies.mLoop, aAddress, limits, aDependencies.mResources);
  if (IsError(server)) {
    return ErrorOf(server);
  }
  std::unique_ptr<OperatorPort> port(
    new OperatorPort(aSelf, std::move(aDependencies)));
  port->mServer = ReleaseValue(std::move(server));
  OperatorPort* self = port.get();
  self->mServer->RequestArrived().connect(
    [self](const Exchange& aExchange) { self->Handle(aExchange); });
  self->mDependencies.mSource.Applied().connect([self]() { self->OnTick(); });
  return port;
}

OperatorPort::OperatorPort(const NodeIdentity& aSelf,
                           Dependencies aDependencies)
  : mSelf(aSelf)
  , mDependencies(std::move(aDependencies))
{
}

void
OperatorPort::OnTick()
{
  UpdateNodes();
  AnswerWatches();
}

void
OperatorPort::Handle(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const bool isChange = request.mPath == OperatorRequestParser::kChangePath;
  const HttpMethod method = isChange ? HttpMethod::Post : HttpMethod::Get;
  if (request.mMethod != method) {
    aExchange->Reply(
      JsonReply(kMethodNotAllowed,
                OperatorAnswers::ErrorAnswer(Fault(
                  ErrorCode::InvalidInput, "the path takes another method"))));
    return;
  }
  if (isChange) {
    HandleChange(aExchange);
  } else {
    HandleQuestion(aExchange);
  }
}

void
OperatorPort::HandleChange(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (!request.mParameters.empty()) {
    Refuse(aExchange,
           Fault(ErrorCode::InvalidInput, "the path takes no parameters"));
    return;
  }
  Result<OperatorChange> parsed =
    OperatorRequestParser::ParseChange(request.mBody);
  if (IsError(parsed)) {
    Refuse(aExchange, ErrorOf(parsed));
    return;
  }
  OperatorChange change = ReleaseValue(std::move(parsed));
  change.mRequest.mWallTime = mDependencies.mLoop.SystemTime().WallTime();
  change.mRequest.mGroups = mDependencies.mSource.Shards();
  if (change.mDryRun == DryRun::Yes) {
    const Result<ChangeOutcome> outcome = SimulateChange(change);
    if (IsError(outcome)) {
      Refuse(aExchange, ErrorOf(outcome));
      return;
    }
    aExchange->Reply(
      JsonReply(200, OperatorAnswers::ChangeAnswer(change, ValueOf(outcome))));
    return;
  }
  if (mChanges.size() >= kMaximumWaitingChanges) {
    Refuse(aExchange,
           Fault(ErrorCode::Overloaded, "too many changes are waiting"));
    return;
  }
  mChanges.push_back({ aExchange, std::move(change) });
  if (mChanges.size() == 1) {
    BeginNextChange();
  }
}

void
OperatorPort::HandleQuestion(const Exchange& aExchange)
{
  UpdateNodes();
  const HttpRequest& request = aExchange->Request();
  const Result<OperatorQuestion> question =
    OperatorRequestParser::ParseQuestion(request.mPath, request.mParameters);
  if (IsError(question)) {
    Refuse(aExchange, ErrorOf(question));
    return;
  }
  const bool mustWait = ValueOf(question).mTopic == OperatorTopic::Watch &&
                        !OperatorAnswers::IsDue(ValueOf(question), Context());
  if (mustWait && mWatches.size() < kMaximumWaitingWatches) {
    mWatches.push_back({ aExchange,
                         ValueOf(question),
                         mDependencies.mLoop.Now() + ValueOf(question).mWait });
    return;
  }
  const Result<Json::Value> answer =
    OperatorAnswers::Answer(ValueOf(question), Context());
  if (IsError(answer)) {
    Refuse(aExchange, ErrorOf(answer));
    return;
  }
  aExchange->Reply(JsonReply(200, ValueOf(answer)));
}

void
OperatorPort::BeginNextChange()
{
  if (mChanges.empty()) {
    return;
  }
  WriteRunner::Run(
    mDependencies.mLoop,
    mDependencies.mStore,
    ConfigurationWriter(
      mSelf,
      ++mLastWriter,
      mDependencies.mSource.TaskOf(mChanges.front().mChange.mRequest),
      mDependencies.mSource.Base()),
    [this](const Result<WriteOutcome>& aOutcome) { FinishChange(aOutcome); });
}

void
OperatorPort::FinishChange(const Result<WriteOutcome>& aOutcome)
{
  const WaitingChange change = std::move(mChanges.front());
  mChanges.pop_front();
  if (IsError(aOutcome)) {
    Refuse(change.mExchange, ErrorOf(aOutcome));
  } else {
    const WriteOutcome& outcome = ValueOf(aOutcome);
    if (outcome.mWritten) {
      mDependencies.mSource.OnWritten(*outcome.mWritten, outcome.mSent);
    }
    change.mExchange->Reply(JsonReply(
      200, OperatorAnswers::ChangeAnswer(change.mChange, outcome.mChange)));
  }
  // The next write starts in a deferred task, so that a series of failures does
  // not nest calls on the stack.
  mDependencies.mLoop.Defer([this] { BeginNextChange(); });
}

Result<ChangeOutcome>
OperatorPort::SimulateChange(const OperatorChange& aChange) const
{
  if (!mDependencies.mSource.InForce()) {
    return Fault(ErrorCode::Unavailable, "this node has no configuration yet");
  }
  return ApplyTask(mDependencies.mSource.TaskOf(aChange.mRequest),
                   mDependencies.mSource.Base().mConfiguration);
}

void
OperatorPort::AnswerWatches()
{
  // Creating the context may be expensive, since the configuration in force may
  // have to be merged with all targets.
  if (mWatches.empty()) {
    return;
  }
  const OperatorContext context = Context();
  const Instant now = mDependencies.mLoop.Now();
  for (auto watch = mWatches.begin(); watch != mWatches.end();) {
    if (watch->mEnd > now &&
        !OperatorAnswers::IsDue(watch->mQuestion, context)) {
      ++watch;
      continue;
    }
    const Result<Json::Value> answer =
      OperatorAnswers::Answer(watch->mQuestion, context);
    if (IsError(answer)) {
      Refuse(watch->mExchange, ErrorOf(answer));
    } else {
      watch->mExchange->Reply(JsonReply(200, ValueOf(answer)));
    }
    watch = mWatches.erase(watch);
  }
}

void
OperatorPort::UpdateNodes()
{
  mDependencies.mSource.UpdateNodes(&mTracker, mDependencies.mLoop.Now());
}

OperatorContext
OperatorPort::Context() const
{
  OperatorContext context{ mDependencies.mSource.InForce(),
                           mDependencies.mSource.Known(),
                           std::nullopt,
                           mTracker,
                           mDependencies.mSource.DomainsOut() };
  const std::optional<Instant> confirmed = mDependencies.mSource.Confirmed();
  if (confirmed) {
    context.mConfirmedAge = mDependencies.mLoop.Now() - *confirmed;
  }
  return context;
}

void
OperatorPort::Refuse(const Exchange& aExchange, const Error& aError)
{
  aExchange->Reply(JsonReply(OperatorAnswers::StatusOf(aError.mCode),
                             OperatorAnswers::ErrorAnswer(aError)));
}

} // namespace verbenachute
