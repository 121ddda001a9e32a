#include "LeaseService.h"

#include <LibControl/LeaseCodec.h>
#include <LibJson/JsonText.h>

#include <utility>

namespace verbenachute {

namespace {

constexpr std::size_t kMaximumRosterBytes = 64UL * 1024;

Result<Roster>
ParseRoster(const std::string& aText)
{
  const Result<Json::Value> value = ParseJson(aText, kMaximumRosterBytes);
  if (IsError(value)) {
    return ErrorOf(value);
  }
  return ReadRoster(ValueOf(value));
}

} // namespace

LeaseService::LeaseService(NodeIdentity aSelf,
                           Region aRegion,
                           const LeaseSettings& aSettings,
                           Dependencies aDependencies)
  : mSelf(std::move(aSelf))
  , mRegion(std::move(aRegion))
  , mSettings(aSettings)
  , mDependencies(aDependencies)
  , mVoter(mSelf, mSettings, mDependencies.mLoop.Now())
  , mHolder(mSelf, mSettings)
  , mSteward(mSettings)
  , mHolderTimer(
      mDependencies.mLoop,
      [this]() { CarryOut(mHolder.OnTimer(mDependencies.mLoop.Now())); })
  , mRosterTimer(mDependencies.mLoop, [this]() { ReadStoreRoster(); })
{
}

void
LeaseService::Start()
{
  ReadStoreRoster();
  CarryOut(mHolder.OnTimer(mDependencies.mLoop.Now()));
}

void
LeaseService::OnMembers(const std::vector<LeaseMember>& aMembers,
                        const std::set<NodeName>& aListed)
{
  const Instant now = mDependencies.mLoop.Now();
  mSteward.OnMembers(aMembers, aListed, now);
  CarryOut(mHolder.OnMembers(aMembers, now));
  ConsiderRoster();
}

void
LeaseService::OnTick()
{
  mVoter.OnTimer(mDependencies.mLoop.Now());
}

void
LeaseService::OnDomains(const std::vector<FailureDomain>& aDomains)
{
  CarryOut(mHolder.OnDomains(aDomains, mDependencies.mLoop.Now()));
}

void
LeaseService::OnRevision(Revision aRevision)
{
  mVoter.OnRevision(aRevision);
  mHolder.OnRevision(aRevision);
}

void
LeaseService::OnPeerRoster(const NodeName& aPeer, const Roster& aRoster)
{
  const Instant now = mDependencies.mLoop.Now();
  mVoter.OnPeerRoster(aPeer, aRoster, now);
  if (mVoter.CurrentRoster().has_value()) {
    CarryOut(mHolder.OnRoster(*mVoter.CurrentRoster(), now));
  }
}

void
LeaseService::OnDrained(const Bucket& aBucket)
{
  CarryOut(mHolder.OnDrained(aBucket, mDependencies.mLoop.Now()));
}

Result<Json::Value>
LeaseService::AnswerRequest(const Json::Value& aInput)
{
  const Result<LeaseRequest> request = ReadLeaseRequest(aInput);
  if (IsError(request)) {
    return ErrorOf(request);
  }
  NoteEpoch(ValueOf(request).mEpoch);
  return WriteLeaseReply(
    mVoter.OnRequest(ValueOf(request), mDependencies.mLoop.Now()));
}

Result<Json::Value>
LeaseService::AnswerRelease(const Json::Value& aInput)
{
  const Result<LeaseRelease> release = ReadLeaseRelease(aInput);
  if (IsError(release)) {
    return ErrorOf(release);
  }
  mVoter.OnRelease(ValueOf(release), mDependencies.mLoop.Now());
  return Json::Value(Json::objectValue);
}

const LeaseHolder&
LeaseService::Holder() const
{
  return mHolder;
}

const LeaseSettings&
LeaseService::Settings() const
{
  return mSettings;
}

const std::optional<Roster>&
LeaseService::CurrentRoster() const
{
  return mVoter.CurrentRoster();
}

sigc::signal<void(const Bucket&)>&
LeaseService::Gained()
{
  return mGained;
}

sigc::signal<void(const Bucket&)>&
LeaseService::Stopping()
{
  return mStopping;
}

sigc::signal<void(const Bucket&)>&
LeaseService::Lost()
{
  return mLost;
}

void
LeaseService::CarryOut(const LeaseActions& aActions)
{
  for (const LeaseAction& action : aActions) {
    if (const SendLeaseRequest* request =
          std::get_if<SendLeaseRequest>(&action)) {
      SendRequest(*request);
    } else if (const SendLeaseRelease* release =
                 std::get_if<SendLeaseRelease>(&action)) {
      SendRelease(*release);
    } else if (const BucketGained* gained =
                 std::get_if<BucketGained>(&action)) {
      mDependencies.mLogger.Log(LogEvent(EventNumber::LeaseAcquired)
                                  .At(Step::Lease)
                                  .With("bucket", BucketText(gained->mBucket)));
      mGained.emit(gained->mBucket);
    } else if (const BucketStopping* stopping =
                 std::get_if<BucketStopping>(&action)) {
      mDependencies.mLogger.Log(
        LogEvent(EventNumber::LeaseReleased)
          .At(Step::Lease)
          .With("bucket", BucketText(stopping->mBucket)));
      mStopping.emit(stopping->mBucket);
    } else if (const BucketLost* lost = std::get_if<BucketLost>(&action)) {
      mDependencies.mLogger.Log(LogEvent(EventNumber::LeaseLost)
                                  .At(Step::Lease)
                                  .With("bucket", BucketText(lost->mBucket)));
      mLost.emit(lost->mBucket);
    } else if (const WakeHolderAt* wake = std::get_if<WakeHolderAt>(&action)) {
      mHolderTimer.Start(wake->mAt - mDependencies.mLoop.Now());
    }
  }
}

void
LeaseService::SendRequest(const SendLeaseRequest& aAction)
{
  if (aAction.mVoter == mSelf.mName) {
    // Deferred like a message, since the holder must not be called back
    // while it gives out its actions.
    mDependencies.mLoop.Defer([this, request = aAction.mRequest]() {
      OnReply(mVoter.OnRequest(request, mDependencies.mLoop.Now()));
    });
    return;
  }
  const std::optional<SocketAddress> address =
    mDependencies.mDirectory.PeerAddress(aAction.mVoter);
  if (!address.has_value()) {
    return;
  }
  mDependencies.mPeers.Call(*address,
                            kLeaseRequestMethod,
                            WriteLeaseRequest(aAction.mRequest),
                            [this](const Result<Json::Value>& aReply) {
                              if (IsError(aReply)) {
                                return;
                              }
                              const Result<LeaseReply> reply =
                                ReadLeaseReply(ValueOf(aReply));
                              if (!IsError(reply)) {
                                OnReply(ValueOf(reply));
                              }
                            });
}

void
LeaseService::SendRelease(const SendLeaseRelease& aAction)
{
  if (aAction.mVoter == mSelf.mName) {
    mVoter.OnRelease(aAction.mRelease, mDependencies.mLoop.Now());
    return;
  }
  const std::optional<SocketAddress> address =
    mDependencies.mDirectory.PeerAddress(aAction.mVoter);
  if (!address.has_value()) {
    return;
  }
  // A release that is lost costs a successor the rest of the lease only.
  mDependencies.mPeers.Call(*address,
                            kLeaseReleaseMethod,
                            WriteLeaseRelease(aAction.mRelease),
                            [](const Result<Json::Value>&) {});
}

void
LeaseService::OnReply(const LeaseReply& aReply)
{
  const Instant now = mDependencies.mLoop.Now();
  NoteEpoch(aReply.mEpoch);
  mSteward.OnVoterEpoch(aReply.mVoter.mName, aReply.mEpoch, now);
  CarryOut(mHolder.OnReply(aReply, now));
}

void
LeaseService::ReadStoreRoster()
{
  mRosterReads.OnReadStarted(mDependencies.mLoop.Now());
  ArmRosterTimer();
  mDependencies.mPlatform.Read(
    RosterKey(), [this](const Result<std::optional<StoredValue>>& aValue) {
      OnStoreRoster(aValue);
    });
}

void
LeaseService::OnStoreRoster(const Result<std::optional<StoredValue>>& aValue)
{
  if (IsError(aValue)) {
    mRosterReads.OnReadFailed();
    ArmRosterTimer();
    return;
  }
  const Instant now = mDependencies.mLoop.Now();
  if (!ValueOf(aValue).has_value()) {
    mRosterReads.OnRead(RosterEpoch());
    ArmRosterTimer();
    mSteward.OnStoreRoster(Roster{}, now);
    ConsiderRoster();
    return;
  }
  const Result<Roster> roster = ParseRoster(ValueOf(aValue)->mValue);
  if (IsError(roster)) {
    mDependencies.mLogger.Log(
      LogEvent(EventNumber::StoreUnavailable).WithError(ErrorOf(roster)));
    mRosterReads.OnReadFailed();
    ArmRosterTimer();
    return;
  }
  mRosterReads.OnRead(ValueOf(roster).mEpoch);
  ArmRosterTimer();
  mRosterRevision = ValueOf(aValue)->mRevision;
  mVoter.OnStoreRoster(ValueOf(roster));
  mSteward.OnStoreRoster(ValueOf(roster), now);
  CarryOut(mHolder.OnRoster(ValueOf(roster), now));
  ConsiderRoster();
}

void
LeaseService::ConsiderRoster()
{
  const std::optional<RosterProposal> proposal =
    mSteward.Consider(mDependencies.mLoop.Now());
  if (!proposal.has_value()) {
    return;
  }
  const KeyRevision expected =
    proposal->mExpected == RosterEpoch(0) ? KeyRevision(0) : mRosterRevision;
  mDependencies.mPlatform.CompareAndSwap(
    RosterKey(),
    CompactJson(WriteRoster(proposal->mNext)),
    expected,
    [this,
     epoch = proposal->mNext.mEpoch](const Result<SwapOutcome>& aOutcome) {
      RosterOutcome outcome = RosterOutcome::Unknown;
      if (!IsError(aOutcome)) {
        outcome = ValueOf(aOutcome).mResult == SwapResult::Swapped
                    ? RosterOutcome::Written
                    : RosterOutcome::Conflict;
      }
      if (outcome == RosterOutcome::Written) {
        mDependencies.mLogger.Log(LogEvent(EventNumber::RosterChanged)
                                    .At(Step::Lease)
                                    .With("epoch", epoch.value()));
      }
      mSteward.OnOutcome(outcome, mDependencies.mLoop.Now());
      ReadStoreRoster();
    });
}

void
LeaseService::NoteEpoch(RosterEpoch aEpoch)
{
  mRosterReads.OnToldEpoch(aEpoch);
  ArmRosterTimer();
}

void
LeaseService::ArmRosterTimer()
{
  mRosterTimer.Start(mRosterReads.NextRead() - mDependencies.mLoop.Now());
}

std::string
LeaseService::RosterKey() const
{
  return "verbenachute/rosters/" + mRegion.value();
}

} // namespace verbenachute
