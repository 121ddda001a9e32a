#include <LibRollout/RolloutMachine.h>

#include <LibCore/RendezvousHash.h>
#include <LibCore/Verify.h>
#include <LibRollout/ExposureBudget.h>
#include <LibRollout/RolloutLeaders.h>

#include <algorithm>
#include <utility>

// Requests, counts and what is learned from the store and from peers.

namespace verbenachute {

namespace {

// The coordinator and those that continue its work.
constexpr std::size_t kLeaders = 3;
constexpr double kHashRange = 18446744073709551616.0;
constexpr double kMillion = 1'000'000;
// Wall clocks that differ by more are not believed.
constexpr Duration kMaximumWallElapsed = std::chrono::hours(1);

} // namespace

RolloutMachine::RolloutMachine(Setup aSetup, Instant aNow)
  : mSetup(std::move(aSetup))
  , mCreated(aNow)
  , mNextReport(aNow)
{
}

bool
RolloutMachine::IsOpen() const
{
  return mPhase != RolloutPhase::Done && mPhase != RolloutPhase::RolledBack;
}

std::vector<std::string>
RolloutMachine::VersionsInForce() const
{
  return CurrentMode() == Mode::NewOnly
           ? std::vector<std::string>{ mSetup.mOrder.mTargetVersion }
           : mSetup.mOldVersions;
}

std::optional<RolloutVersion>
RolloutMachine::KindOf(const std::string& aVersion) const
{
  if (aVersion == mSetup.mOrder.mTargetVersion) {
    return RolloutVersion::New;
  }
  const std::vector<std::string>& old = mSetup.mOldVersions;
  const bool isOld =
    old.empty() || std::find(old.begin(), old.end(), aVersion) != old.end();
  return isOld ? std::optional(RolloutVersion::Old) : std::nullopt;
}

RolloutMachine::Mode
RolloutMachine::CurrentMode() const
{
  if (mPhase == RolloutPhase::Done) {
    return Mode::NewOnly;
  }
  if (mIsStopped) {
    return Mode::OldOnly;
  }
  switch (mPhase) {
    case RolloutPhase::Canary:
      return Mode::Canary;
    case RolloutPhase::Switching:
    case RolloutPhase::Done:
      return Mode::NewOnly;
    case RolloutPhase::Unknown:
    case RolloutPhase::RolledBack:
      return Mode::OldOnly;
  }
  VERIFY(!"unknown phase");
}

VersionRank
RolloutMachine::RankOf(const std::string& aVersion,
                       const std::string& aRoute) const
{
  const std::optional<RolloutVersion> kind = KindOf(aVersion);
  if (!kind.has_value()) {
    return VersionRank::Excluded;
  }
  const Mode mode = CurrentMode();
  if (mode != Mode::Canary) {
    const RolloutVersion allowed =
      mode == Mode::NewOnly ? RolloutVersion::New : RolloutVersion::Old;
    return *kind == allowed ? VersionRank::Preferred : VersionRank::Excluded;
  }
  const auto credit = mCredits.find(aRoute);
  const bool isNewDue = credit != mCredits.end() && credit->second >= 1;
  if (*kind == RolloutVersion::New) {
    return isNewDue ? VersionRank::Preferred : VersionRank::Excluded;
  }
  return isNewDue ? VersionRank::Fallback : VersionRank::Preferred;
}

void
RolloutMachine::SetServingNodes(std::vector<NodeName> aNodes)
{
  mServing = std::move(aNodes);
  mLeaders = RolloutLeaders(mSetup.mOrder.mService, mServing, kLeaders);
}

void
RolloutMachine::SetTargets(bool aHasNew, std::uint64_t aRunningOld)
{
  mHasNewTargets = aHasNew;
  if (aRunningOld == 0 && mRunningOld > 0 &&
      mPhase == RolloutPhase::Switching) {
    mMustReport = true;
  }
  mRunningOld = aRunningOld;
}

double&
RolloutMachine::CreditOf(const std::string& aRoute)
{
  const auto found = mCredits.find(aRoute);
  if (found != mCredits.end()) {
    return found->second;
  }
  // The nodes begin at different points between two requests to the new
  // version, so that over all nodes the share holds from the start.
  const std::string key = mSetup.mOrder.mService.value() + '\n' + aRoute +
                          '\n' +
                          std::to_string(mSetup.mOrder.mRevision.value());
  const std::string member = mSetup.mSelf.mName.value() + '\n' +
                             std::to_string(mSetup.mSelf.mIncarnation.value());
  const double start =
    static_cast<double>(RendezvousWeight(key, member)) / kHashRange;
  return mCredits.emplace(aRoute, start).first->second;
}

double
RolloutMachine::ShareOf(const std::string& aRoute) const
{
  const auto found = mShares.find(aRoute);
  if (found != mShares.end()) {
    return found->second / kMillion;
  }
  return mShares.empty() ? ExposureBudget::ShareAtUnknownRate(mSetup.mRule) : 0;
}

void
RolloutMachine::OnSent(const std::string& aRoute, RolloutVersion aVersion)
{
  ++mOwn.mSent;
  static_cast<void>(mOwn.Of(aRoute));
  if (CurrentMode() == Mode::Canary && mHasNewTargets) {
    double& credit = CreditOf(aRoute);
    credit = std::min(1.0, credit + ShareOf(aRoute));
  }
  if (aVersion == RolloutVersion::New) {
    ++mOwn.mSentNew;
    CreditOf(aRoute) -= 1;
  }
}

void
RolloutMachine::OnEnded(const std::string& aRoute,
                        RolloutVersion aVersion,
                        AttemptEnd aEnd,
                        std::optional<Duration> aLatency)
{
  if (aEnd == AttemptEnd::NotRun) {
    return;
  }
  VersionCounts& counts = mOwn.Of(aRoute)[static_cast<std::size_t>(aVersion)];
  ++counts.mResponses;
  if (aEnd == AttemptEnd::Failed) {
    ++counts.mFailed;
  } else if (aLatency.has_value()) {
    counts.mLatencies.Add(*aLatency);
  }
}

std::optional<Duration>
RolloutMachine::Elapsed(Instant aNow) const
{
  return mSetup.mStart.has_value() ? std::optional(aNow - *mSetup.mStart)
                                   : std::nullopt;
}

std::optional<Duration>
RolloutMachine::TimeLeft(Instant aNow) const
{
  const std::optional<Duration> elapsed = Elapsed(aNow);
  return elapsed.has_value() ? std::optional(mSetup.mOrder.mDuration - *elapsed)
                             : std::nullopt;
}

void
RolloutMachine::LearnStart(Duration aElapsed, Instant aNow)
{
  const Instant start = aNow - aElapsed;
  mSetup.mStart = std::min(mSetup.mStart.value_or(start), start);
}

void
RolloutMachine::SetPhase(RolloutPhase aPhase, std::string_view aSource)
{
  if (aPhase == mPhase) {
    return;
  }
  mPhase = aPhase;
  mMustReport = true;
  mNotices.push_back(
    RolloutNotice{ RolloutNotice::Kind::Phase, std::string(aSource) });
  if (aPhase == RolloutPhase::RolledBack) {
    Stop("rolled back");
  }
}

void
RolloutMachine::Stop(std::string_view aReason)
{
  if (mIsStopped || mPhase == RolloutPhase::Done) {
    return;
  }
  mIsStopped = true;
  mMustReport = true;
  mMustReportToAll = true;
  mNotices.push_back(
    RolloutNotice{ RolloutNotice::Kind::Stopped, std::string(aReason) });
}

void
RolloutMachine::OnRecord(const std::optional<RolloutRecord>& aRecord,
                         StoreRevision aRevision,
                         UnixMilliseconds aWallTime,
                         Instant aNow)
{
  // A removal has revision 0.
  if (aRecord.has_value() && aRevision <= mRecordRevision) {
    return;
  }
  mRecordRevision = aRevision;
  mWriting.reset();
  mRetryDelay = Duration(0);
  if (!aRecord.has_value() || aRecord->mOrder != mSetup.mOrder.mRevision) {
    return;
  }
  mRecordStart = aRecord->mStartTime;
  if (!aRecord->mOldVersions.empty()) {
    mSetup.mOldVersions = aRecord->mOldVersions;
  }
  const Duration elapsed = aWallTime - aRecord->mStartTime;
  if (!mSetup.mStart.has_value() && elapsed < kMaximumWallElapsed) {
    LearnStart(std::max(Duration(0), elapsed), aNow);
  }
  SetPhase(aRecord->mPhase, "store");
}

void
RolloutMachine::OnReport(const RolloutReport& aReport, Instant aNow)
{
  if (aReport.mOrder != mSetup.mOrder.mRevision ||
      aReport.mSender == mSetup.mSelf) {
    return;
  }
  mTotals.OnReport(aReport);
  if (aReport.mElapsed.has_value()) {
    LearnStart(*aReport.mElapsed, aNow);
  }
  if (!aReport.mShares.empty() && !IsCoordinator()) {
    mShares = aReport.mShares;
  }
  // Peers know phases from the store only, so a later one is in force.
  if (IsOpen() && aReport.mPhase > std::max(mPhase, RolloutPhase::Canary)) {
    SetPhase(aReport.mPhase, aReport.mSender.mName.value());
  }
  if (aReport.mIsStopped && !mIsStopped) {
    Stop(aReport.mSender.mName.value());
    // The node that stopped first has told all nodes.
    mMustReportToAll = IsCoordinator();
  }
}

void
RolloutMachine::OnWritten(const RolloutWrite& aWrite, StoreRevision aRevision)
{
  if (aRevision <= mRecordRevision) {
    return;
  }
  mRecordRevision = aRevision;
  mRecordStart = aWrite.mRecord.mStartTime;
  mWriting.reset();
  mRetryDelay = Duration(0);
  SetPhase(aWrite.mRecord.mPhase, "own write");
}

void
RolloutMachine::Judge(Instant aNow)
{
  mSum = mTotals.Sum();
  mSum.Add(mOwn);
  mVerdict = JudgeRollout(mSum);
  if (mVerdict == RolloutVerdict::Bad) {
    Stop("bad responses");
  }
  const std::optional<Duration> left = TimeLeft(aNow);
  if (left.has_value() && *left <= Duration(0) &&
      mPhase <= RolloutPhase::Canary) {
    Stop("deadline passed");
  }
}

RolloutOutput
RolloutMachine::OnTime(UnixMilliseconds aWallTime, Instant aNow)
{
  RolloutOutput output;
  if (IsOpen()) {
    Judge(aNow);
    if (IsCoordinator()) {
      UpdateShares(aNow);
      Coordinate(&output, aWallTime, aNow);
    }
  }
  Report(&output, aNow);
  output.mNotices = std::exchange(mNotices, {});
  return output;
}

} // namespace verbenachute
