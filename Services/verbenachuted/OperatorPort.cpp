#include "OperatorPort.h"

#include <LibJson/JsonText.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

constexpr std::size_t kWaitingChanges = 64;
constexpr std::size_t kWaitingWatches = 64;
/// A node that is neither heard nor listed for so long has stopped.
constexpr Duration kGoneAfter = seconds(60);
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
  // Room for the largest change, so that the parser says what is too large.
  limits.mBodyBytes = 2 * OperatorRequestParser::kChangeBytes;
  Result<std::unique_ptr<HttpServer>> server =
    HttpServer::Create(aDependencies.mLoop, aAddress, limits);
  if (IsError(server)) {
    return ErrorOf(server);
  }
  std::unique_ptr<OperatorPort> port(
    new OperatorPort(aSelf, std::move(aDependencies)));
  port->mServer = TakeValue(std::move(server));
  OperatorPort* self = port.get();
  self->mServer->RequestArrived().connect(
    [self](const Exchange& aExchange) { self->Handle(aExchange); });
  self->mDependencies.mConfiguration.Applied().connect(
    [self](const std::shared_ptr<const Configuration>&) {
      self->UpdateNodes();
      self->AnswerWatches();
    });
  return port;
}

OperatorPort::OperatorPort(const NodeIdentity& aSelf,
                           Dependencies aDependencies)
  : mSelf(aSelf)
  , mDependencies(std::move(aDependencies))
  , mBar(mDependencies.mLeases.Settings().VoterDuration())
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
  const bool changes = request.mPath == OperatorRequestParser::kChangePath;
  const HttpMethod method = changes ? HttpMethod::Post : HttpMethod::Get;
  if (request.mMethod != method) {
    aExchange->Reply(
      JsonReply(kMethodNotAllowed,
                OperatorAnswers::ErrorAnswer(Fault(
                  ErrorCode::InvalidInput, "the path takes another method"))));
    return;
  }
  if (changes) {
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
  OperatorChange change = TakeValue(std::move(parsed));
  change.mRequest.mWallTime = mDependencies.mLoop.SystemTime().WallTime();
  change.mRequest.mGroups = mDependencies.mShards();
  if (change.mDryRun == DryRun::Yes) {
    const Result<ChangeOutcome> outcome = Try(change);
    if (IsError(outcome)) {
      Refuse(aExchange, ErrorOf(outcome));
      return;
    }
    aExchange->Reply(
      JsonReply(200, OperatorAnswers::ChangeAnswer(change, ValueOf(outcome))));
    return;
  }
  if (mChanges.size() >= kWaitingChanges) {
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
  const HttpRequest& request = aExchange->Request();
  const Result<OperatorQuestion> question =
    OperatorRequestParser::ParseQuestion(request.mPath, request.mParameters);
  if (IsError(question)) {
    Refuse(aExchange, ErrorOf(question));
    return;
  }
  const bool waits = ValueOf(question).mTopic == OperatorTopic::Watch &&
                     !OperatorAnswers::IsDue(ValueOf(question), Context());
  if (waits && mWatches.size() < kWaitingWatches) {
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
  const ConfigurationFollower& follower =
    mDependencies.mConfiguration.Follower();
  WriterBase base;
  if (follower.InForce()) {
    base.mConfiguration = follower.InForce();
    base.mHead = follower.Head();
    for (const PartName& part : base.mHead.mParts) {
      base.mParts[part] = follower.FindPart(part);
    }
  }
  WriteRunner::Run(
    mDependencies.mLoop,
    mDependencies.mPlatform,
    ConfigurationWriter(
      mSelf, ++mLastWriter, mChanges.front().mChange.mRequest, std::move(base)),
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
      mDependencies.mConfiguration.OnWritten(*outcome.mWritten, outcome.mSent);
    }
    change.mExchange->Reply(JsonReply(
      200, OperatorAnswers::ChangeAnswer(change.mChange, outcome.mChange)));
  }
  // The next writer starts from its own event, so that a queue of failures
  // does not grow the stack.
  mDependencies.mLoop.Defer([this] { BeginNextChange(); });
}

Result<ChangeOutcome>
OperatorPort::Try(const OperatorChange& aChange) const
{
  const std::shared_ptr<const Configuration>& inForce =
    mDependencies.mConfiguration.Follower().InForce();
  if (!inForce) {
    return Fault(ErrorCode::Unavailable, "this node has no configuration yet");
  }
  return ConfigurationEditor::Apply(inForce, aChange.mRequest);
}

void
OperatorPort::AnswerWatches()
{
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
  const Instant now = mDependencies.mLoop.Now();
  MembershipService& membership = mDependencies.mMembership;
  const Revision own =
    mDependencies.mConfiguration.Follower().RevisionInForce();
  mTracker.OnConfirmed(mSelf, own);
  std::map<NodeName, Revision> confirmed{ { mSelf.mName, own } };
  for (const Member& member : membership.Table().Members(now)) {
    const MemberDescription& description = member.mDescription;
    if (member.mState == MemberState::Dead) {
      mTracker.OnNode(description.mIdentity);
      continue;
    }
    mTracker.OnConfirmed(description.mIdentity, description.mRevision);
    confirmed[description.mIdentity.mName] = description.mRevision;
    mSeen[description.mIdentity] = now;
  }
  const std::optional<Roster>& roster = mDependencies.mLeases.CurrentRoster();
  if (roster) {
    std::vector<Revision> voters;
    for (const NodeName& voter : roster->mVoters) {
      voters.push_back(confirmed[voter]);
    }
    mBar.OnVoters(std::move(voters), roster->Majority(), now);
    const Region& home = membership.Table().Self().mRegion;
    for (const Member& member : membership.Table().Members(now)) {
      // Other regions have voters of their own, whose grants are not seen.
      if (member.mDescription.mRegion == home) {
        mTracker.OnLeasesLapsed(member.mDescription.mIdentity,
                                mBar.BarredBelow());
      }
    }
  }
  ForgetGoneNodes(now);
}

void
OperatorPort::ForgetGoneNodes(Instant aNow)
{
  const std::set<NodeName>& listed = mDependencies.mMembership.ListedNames();
  for (const NodeRevision& node : mTracker.Nodes()) {
    const auto [seen, added] = mSeen.try_emplace(node.mNode, aNow);
    const bool isListed = listed.contains(node.mNode.mName);
    if (node.mNode != mSelf && !isListed && seen->second + kGoneAfter <= aNow) {
      mTracker.OnGone(node.mNode);
      mSeen.erase(node.mNode);
    }
  }
}

OperatorContext
OperatorPort::Context() const
{
  const ConfigurationFollower& follower =
    mDependencies.mConfiguration.Follower();
  OperatorContext context{
    follower.InForce(), follower.RevisionKnown(), std::nullopt, mTracker
  };
  if (follower.Confirmed()) {
    context.mConfirmedAge = mDependencies.mLoop.Now() - *follower.Confirmed();
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
