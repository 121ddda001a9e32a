#include "ShutdownService.h"

#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

namespace {

constexpr int kExitReplaced = 4;

} // namespace

ShutdownService::ShutdownService(const LeavingProcess::Settings& aSettings,
                                 Dependencies aDependencies)
  : mDependencies(aDependencies)
  , mProcess(aSettings)
{
}

void
ShutdownService::SetCallerPort(const CallerPort& aPort)
{
  mCallerPort = &aPort;
}

void
ShutdownService::SetOperatorPort(const OperatorPort& aPort)
{
  mOperatorPort = &aPort;
}

void
ShutdownService::OnSignal()
{
  if (mProcess.Phase() == LeavingPhase::Serving) {
    mDependencies.mLogger.Log(
      LogEvent(EventNumber::ShutdownStarted).At(Step::Shutdown));
  }
  CarryOut(mProcess.OnSignal(Facts(), mDependencies.mLoop.Now()));
  LogPhase();
}

void
ShutdownService::OnTick()
{
  if (mProcess.Phase() == LeavingPhase::Serving) {
    return;
  }
  CarryOut(mProcess.Step(Facts(), mDependencies.mLoop.Now()));
  LogPhase();
}

void
ShutdownService::EndNow()
{
  mExitStatus = kExitReplaced;
  mDependencies.mLoop.Stop();
}

ServingMode
ShutdownService::Mode() const
{
  return mMode;
}

bool
ShutdownService::MayHoldBuckets() const
{
  return mHolding == Holding::Allowed;
}

int
ShutdownService::ExitStatus() const
{
  return mExitStatus;
}

LeavingFacts
ShutdownService::Facts() const
{
  const Instant now = mDependencies.mLoop.Now();
  LeavingFacts facts;
  facts.mUnconfirmed = mDependencies.mMembership.Table().Unconfirmed(now);
  // Without a node that could take them, the leases lapse with this process.
  if (HasSuccessor()) {
    facts.mBucketsHeld = mDependencies.mLeases.Holder().HeldBuckets(now).size();
  }
  VERIFY(mCallerPort != nullptr && mOperatorPort != nullptr);
  facts.mQueries = mCallerPort->InFlightCalls();
  // A pending change of an operator delays the end like work of a peer.
  facts.mSubQueries =
    mDependencies.mDispatch.InHand() + mOperatorPort->InFlightCalls();
  return facts;
}

bool
ShutdownService::HasSuccessor() const
{
  const Region& region = mDependencies.mMembership.Table().Self().mRegion;
  const std::vector<Member> peers = mDependencies.mMembership.LivePeers();
  return std::any_of(peers.begin(), peers.end(), [&](const Member& aMember) {
    return aMember.mState == MemberState::Alive &&
           aMember.mDescription.mRegion == region;
  });
}

void
ShutdownService::CarryOut(const std::vector<LeavingAction>& aActions)
{
  for (const LeavingAction action : aActions) {
    switch (action) {
      case LeavingAction::AnnounceLeaving:
        mMode = ServingMode::Leaving;
        mDependencies.mMembership.Table().Self().mPhase = MemberPhase::Leaving;
        break;
      case LeavingAction::RefuseNewWork:
        mMode = ServingMode::Refusing;
        mDependencies.mOnce.Table().RefuseNew();
        break;
      case LeavingAction::HandOverBuckets:
        mHolding = Holding::HandingOver;
        break;
      case LeavingAction::Exit:
        Exit();
        break;
    }
  }
}

void
ShutdownService::LogPhase()
{
  if (mProcess.Phase() == mLoggedPhase) {
    return;
  }
  mLoggedPhase = mProcess.Phase();
  mDependencies.mLogger.Log(LogEvent(EventNumber::ShutdownPhase)
                              .At(Step::Shutdown)
                              .With("phase", LeavingPhaseName(mLoggedPhase)));
}

void
ShutdownService::Exit()
{
  const LeavingReport& report = mProcess.Report();
  mExitStatus = ExitStatusOf(report);
  if (report.mEnding != LeavingEnding::Graceful) {
    mDependencies.mLogger.Log(
      LogEvent(EventNumber::ShutdownGaveUp)
        .At(Step::Shutdown)
        .With("phase", LeavingPhaseName(report.mPhase))
        .With("queries", report.mGivenUp.mQueries.size())
        .With("sub_queries", report.mGivenUp.mSubQueries)
        .With("buckets", report.mGivenUp.mBucketsHeld)
        .With("unconfirmed_peers", report.mGivenUp.mUnconfirmed.size()));
  }
  mDependencies.mLoop.Stop();
}

} // namespace verbenachute
