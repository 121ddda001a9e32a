#include "DispatchService.h"

#include <LibCore/Verify.h>
#include <LibTransport/PeerSession.h>

namespace verbenachute {

namespace {

EventNumber
EventOf(TargetCondition aCondition)
{
  switch (aCondition) {
    case TargetCondition::Ready:
      return EventNumber::TargetReady;
    case TargetCondition::Warming:
      return EventNumber::TargetWarming;
    case TargetCondition::Draining:
      return EventNumber::TargetDraining;
    case TargetCondition::Down:
      return EventNumber::TargetDown;
  }
  VERIFY(!"unknown condition");
}

} // namespace

DispatchService::DispatchService(EventLoop& aLoop,
                                 const NodeIdentity& aSelf,
                                 const DispatchSettings& aSettings,
                                 LeaseService& aLeases,
                                 Logger& aLogger)
  : mLoop(aLoop)
  , mSelf(aSelf)
  , mLeases(aLeases)
  , mLogger(aLogger)
  , mGate(aSelf, aSettings, aLeases.Holder())
  , mTargets(aLoop, aSelf)
  , mTimer(aLoop, [this]() { CarryOut(mGate.OnTimer(mLoop.Now())); })
{
  ConnectSignals(aLeases);
}

void
DispatchService::Submit(const SubQuery& aSubQuery)
{
  CarryOut(mGate.OnSubQuery(aSubQuery, mSelf, mLoop.Now()));
}

void
DispatchService::Cancel(AttemptId aAttempt)
{
  CarryOut(mGate.OnCancel(mSelf, aAttempt, mLoop.Now()));
}

void
DispatchService::OnPeerMessage(const PeerPort::SessionHandle& aSession,
                               const PeerMessage& aMessage)
{
  const std::shared_ptr<PeerSession> session = aSession.lock();
  if (session == nullptr || !session->Peer().has_value()) {
    return;
  }
  const NodeIdentity& origin = *session->Peer();
  mSessions[origin] = aSession;
  if (const SubQuery* subQuery = std::get_if<SubQuery>(&aMessage)) {
    CarryOut(mGate.OnSubQuery(*subQuery, origin, mLoop.Now()));
  } else if (const SubCancel* cancel = std::get_if<SubCancel>(&aMessage)) {
    CarryOut(mGate.OnCancel(origin, cancel->mAttempt, mLoop.Now()));
  }
}

void
DispatchService::OnConfiguration(
  const std::shared_ptr<const ConfigurationView>& aView)
{
  CarryOut(mGate.OnConfiguration(aView, mLoop.Now()));
}

void
DispatchService::OnTargetState(const TargetState& aState)
{
  mGate.OnTargetState(aState);
}

void
DispatchService::OnPoisonReport(const PoisonReport& aReport)
{
  CarryOut(mGate.OnPoisonReport(aReport, mLoop.Now()));
}

std::vector<PoisonReport>
DispatchService::PoisonReports()
{
  return mGate.PoisonReports(mLoop.Now());
}

std::size_t
DispatchService::InHand() const
{
  std::size_t count = 0;
  for (const Bucket& bucket : mLeases.Holder().HeldBuckets(mLoop.Now())) {
    count += mGate.InHand(bucket);
  }
  return count;
}

DispatchService::AnswerSignal&
DispatchService::LocalAnswer()
{
  return mLocalAnswer;
}

DispatchService::StateSignal&
DispatchService::StatePublished()
{
  return mStatePublished;
}

DispatchService::PoisonSignal&
DispatchService::PoisonFound()
{
  return mPoisonFound;
}

void
DispatchService::ConnectSignals(LeaseService& aLeases)
{
  aLeases.Gained().connect([this](const Bucket& aBucket) {
    CarryOut(mGate.OnBucketGained(aBucket, mLoop.Now()));
  });
  aLeases.Stopping().connect([this](const Bucket& aBucket) {
    CarryOut(mGate.OnBucketStopping(aBucket, mLoop.Now()));
  });
  aLeases.Lost().connect([this](const Bucket& aBucket) {
    CarryOut(mGate.OnBucketLost(aBucket, mLoop.Now()));
  });
  mTargets.ReplyArrived().connect(
    [this](DispatchId aDispatch, const TargetReply& aReply) {
      CarryOut(mGate.OnTargetReply(aDispatch, aReply, mLoop.Now()));
    });
  mTargets.ConnectionFailed().connect([this](DispatchId aDispatch) {
    CarryOut(mGate.OnConnectionFailed(aDispatch, mLoop.Now()));
  });
  mTargets.ConnectionLost().connect([this](DispatchId aDispatch) {
    CarryOut(mGate.OnConnectionLost(aDispatch, mLoop.Now()));
  });
  mTargets.IdleConnectionLost().connect([this](const TargetName& aTarget) {
    CarryOut(mGate.OnIdleConnectionLost(aTarget, mLoop.Now()));
  });
  mTargets.CancelAnswered().connect(
    [this](DispatchId aDispatch, CancelOutcome aOutcome) {
      CarryOut(mGate.OnCancelOutcome(aDispatch, aOutcome, mLoop.Now()));
    });
  mTargets.ProbeAnswered().connect(
    [this](const TargetName& aTarget,
           const Result<std::vector<HeldVersion>>& aVersions) {
      CarryOut(
        IsError(aVersions)
          ? mGate.OnProbeFailed(aTarget, mLoop.Now())
          : mGate.OnProbeReply(aTarget, ValueOf(aVersions), mLoop.Now()));
    });
}

void
DispatchService::CarryOut(const DispatchActions& aActions)
{
  for (const DispatchAction& action : aActions) {
    std::visit([this](const auto& aTyped) { Perform(aTyped); }, action);
  }
}

void
DispatchService::Perform(const SendToTarget& aAction)
{
  mTargets.Send(
    aAction.mDispatch, aAction.mAddress, aAction.mSubQuery, aAction.mRunUntil);
}

void
DispatchService::Perform(const CancelAtTarget& aAction)
{
  mTargets.Cancel(aAction.mDispatch, aAction.mAddress);
}

void
DispatchService::Perform(const CloseExchange& aAction)
{
  mTargets.CloseExchange(aAction.mDispatch);
}

void
DispatchService::Perform(const AnswerSubQuery& aAction)
{
  if (aAction.mOrigin == mSelf) {
    // Deferred like an answer of a peer, so that the sender has finished
    // giving out its actions.
    mLoop.Defer(
      [this, answer = aAction.mAnswer]() { mLocalAnswer.emit(answer); });
    return;
  }
  const auto found = mSessions.find(aAction.mOrigin);
  if (found == mSessions.end()) {
    return;
  }
  const std::shared_ptr<PeerSession> session = found->second.lock();
  if (session == nullptr) {
    // The link is gone, and its other end knows that answers are lost.
    mSessions.erase(found);
    return;
  }
  session->Queue(aAction.mAnswer);
}

void
DispatchService::Perform(const ProbeTarget& aAction)
{
  mTargets.Probe(aAction.mTarget, aAction.mAddress, aAction.mTimeout);
}

void
DispatchService::Perform(const PublishTargetState& aAction)
{
  LogCondition(aAction.mState);
  mStatePublished.emit(aAction.mState);
}

void
DispatchService::LogCondition(const TargetState& aState)
{
  const auto known = mConditions.find(aState.mTarget);
  if (known != mConditions.end() && known->second == aState.mCondition) {
    return;
  }
  mConditions[aState.mTarget] = aState.mCondition;
  mLogger.Log(LogEvent(EventOf(aState.mCondition))
                .At(Step::Target)
                .Peer(aState.mTarget.value()));
}

void
DispatchService::Perform(const ReportPoison& aAction)
{
  mLogger.Log(LogEvent(EventNumber::RequestPoisoned)
                .At(Step::Gate)
                .With("fingerprint", aAction.mReport.mFingerprint.value()));
  mPoisonFound.emit(aAction.mReport);
}

void
DispatchService::Perform(const CloseIdleConnections& aAction)
{
  mTargets.CloseIdle(aAction.mAddress);
}

void
DispatchService::Perform(const BucketDrained& aAction)
{
  mLeases.OnDrained(aAction.mBucket);
}

void
DispatchService::Perform(const WakeGateAt& aAction)
{
  mTimer.Start(aAction.mAt - mLoop.Now());
}

} // namespace verbenachute
