#include <LibRollout/RolloutMachine.h>

#include <LibCore/Verify.h>
#include <LibRollout/ExposureBudget.h>

#include <algorithm>
#include <utility>

// Decisions of the coordinator, and reports to other nodes.

namespace verbenachute {

namespace {

// A node that has found an order waits this long for a peer that knows its
// time.
constexpr Duration kStartWait = seconds(1);
// Least time from the switch to the deadline: the phase has to reach all nodes,
// the requests at the old version have to end, and the store has to take the
// last phase.
constexpr Duration kMinimumWindow = milliseconds(500);
// Time before the deadline from which the last phase is written. Before it, the
// new version is observed under the whole load.
constexpr Duration kDoneFrom = milliseconds(400);
// Without the last phase requested by then, the order is rolled back.
constexpr Duration kDoneUntil = milliseconds(150);
// Calls of the store that take longer are repeated.
constexpr Duration kFirstRetry = milliseconds(200);
constexpr Duration kMaximumRetry = seconds(2);
constexpr Duration kCoordinatorPeriod = milliseconds(500);
constexpr Duration kReportPeriod = milliseconds(250);
// After the switch all requests are at stake until the last phase.
constexpr Duration kSwitchingPeriod = milliseconds(100);
// Below this number of requests their rate is not known.
constexpr std::uint64_t kMinimumSent = 20;
constexpr Duration kMinimumElapsed = seconds(1);
constexpr double kMillion = 1'000'000;
constexpr double kMaximumRouteShare = 0.5;

std::uint64_t
ResponsesOf(const RolloutCounts::ByVersion& aVersions)
{
  return aVersions[0].mResponses + aVersions[1].mResponses;
}

} // namespace

bool
RolloutMachine::IsCoordinator() const
{
  return !mLeaders.empty() && mLeaders.front() == mSetup.mSelf.mName;
}

double
RolloutMachine::Rate(Instant aNow) const
{
  const std::chrono::duration<double> elapsed =
    std::max(kMinimumElapsed, Elapsed(aNow).value_or(kMinimumElapsed));
  return static_cast<double>(mSum.mSent) / elapsed.count();
}

Duration
RolloutMachine::SwitchWindow(Instant aNow) const
{
  return ExposureBudget(mSetup.mRule, mSetup.mOrder.mDuration, Rate(aNow))
    .SwitchWindow();
}

void
RolloutMachine::UpdateShares(Instant aNow)
{
  const std::optional<Duration> elapsed = Elapsed(aNow);
  if (mPhase != RolloutPhase::Canary || !elapsed.has_value() ||
      *elapsed < kMinimumElapsed || mSum.mSent < kMinimumSent) {
    return;
  }
  const ExposureBudget budget(
    mSetup.mRule, mSetup.mOrder.mDuration, Rate(aNow));
  const double share =
    budget.CanaryShare(static_cast<double>(mSum.mSentNew), *elapsed);
  std::uint64_t all = 0;
  for (const auto& [route, versions] : mSum.mRoutes) {
    all += ResponsesOf(versions);
  }
  mShares.clear();
  const double routes = static_cast<double>(mSum.mRoutes.size());
  for (const auto& [route, versions] : mSum.mRoutes) {
    // Half of the requests to the new version are divided equally between the
    // routes, so that there is evidence on rare routes too.
    const double part = static_cast<double>(ResponsesOf(versions) + 1) /
                        (static_cast<double>(all) + routes);
    const double own = share * (0.5 + 0.5 / (routes * part));
    mShares[route] =
      static_cast<std::uint32_t>(kMillion * std::min(kMaximumRouteShare, own));
  }
}

std::optional<RolloutPhase>
RolloutMachine::WantedPhase(Instant aNow)
{
  if (mIsStopped) {
    return RolloutPhase::RolledBack;
  }
  std::optional<RolloutPhase> wanted;
  switch (mPhase) {
    case RolloutPhase::Unknown:
      wanted = AfterUnknown(aNow);
      break;
    case RolloutPhase::Canary:
      wanted = AfterCanary(aNow);
      break;
    case RolloutPhase::Switching:
      wanted = AfterSwitching(aNow);
      break;
    case RolloutPhase::Done:
    case RolloutPhase::RolledBack:
      return std::nullopt;
  }
  return mIsStopped ? RolloutPhase::RolledBack : wanted;
}

std::optional<RolloutPhase>
RolloutMachine::AfterUnknown(Instant aNow)
{
  if (mSetup.mStart.has_value()) {
    return RolloutPhase::Canary;
  }
  if (aNow - mCreated >= kStartWait) {
    Stop("time of the order unknown");
  }
  return std::nullopt;
}

std::optional<RolloutPhase>
RolloutMachine::AfterCanary(Instant aNow)
{
  const std::optional<Duration> left = TimeLeft(aNow);
  if (!left.has_value()) {
    Stop("time of the order unknown");
    return std::nullopt;
  }
  const Duration window = SwitchWindow(aNow);
  if (*left > std::max(window, kMinimumWindow)) {
    return std::nullopt;
  }
  if (window < kMinimumWindow || *left < kMinimumWindow) {
    Stop(mVerdict == RolloutVerdict::Good ? "too late for the switch"
                                          : "not enough good responses");
    return std::nullopt;
  }
  // Until then, responses may still come in.
  if (mVerdict != RolloutVerdict::Good) {
    return std::nullopt;
  }
  return RolloutPhase::Switching;
}

std::optional<RolloutPhase>
RolloutMachine::AfterSwitching(Instant aNow)
{
  if (mWriting == RolloutPhase::Done) {
    // It may have taken effect, and then the old targets are gone.
    return RolloutPhase::Done;
  }
  const std::optional<Duration> left = TimeLeft(aNow);
  if (!left.has_value() || *left < kDoneUntil) {
    Stop("requests at the old version, or a phase written late");
    return std::nullopt;
  }
  std::vector<NodeName> others = mServing;
  std::erase(others, mSetup.mSelf.mName);
  const bool mayEnd = *left <= kDoneFrom && mRunningOld == 0 &&
                      mVerdict == RolloutVerdict::Good &&
                      mTotals.HaveLeftOldVersion(others);
  return mayEnd ? std::optional(RolloutPhase::Done) : std::nullopt;
}

void
RolloutMachine::Coordinate(RolloutOutput* aOutput,
                           UnixMilliseconds aWallTime,
                           Instant aNow)
{
  const std::optional<RolloutPhase> wanted = WantedPhase(aNow);
  if (!wanted.has_value() || (mWriting == wanted && aNow < mRetryAt)) {
    return;
  }
  mRetryDelay =
    mWriting == wanted
      ? std::min(kMaximumRetry, std::max(kFirstRetry, 2 * mRetryDelay))
      : kFirstRetry;
  mRetryAt = aNow + mRetryDelay;
  mWriting = wanted;
  RolloutWrite write;
  write.mExpected = mRecordRevision;
  write.mRecord.mPhase = *wanted;
  write.mRecord.mOrder = mSetup.mOrder.mRevision;
  write.mRecord.mOldVersions = mSetup.mOldVersions;
  const Duration elapsed = Elapsed(aNow).value_or(mSetup.mOrder.mDuration);
  write.mRecord.mStartTime =
    mPhase != RolloutPhase::Unknown
      ? mRecordStart
      : aWallTime - std::chrono::duration_cast<UnixMilliseconds>(elapsed);
  aOutput->mWrite = std::move(write);
}

void
RolloutMachine::OnWriteFailed(Instant aNow)
{
  mRetryAt = std::min(mRetryAt, aNow + kFirstRetry);
}

RolloutReport
RolloutMachine::OwnReport(Instant aNow) const
{
  RolloutReport report;
  report.mSender = mSetup.mSelf;
  report.mService = mSetup.mOrder.mService;
  report.mOrder = mSetup.mOrder.mRevision;
  report.mElapsed = Elapsed(aNow);
  report.mPhase = mPhase;
  report.mIsStopped = mIsStopped;
  report.mRunningOld = mRunningOld;
  if (IsCoordinator()) {
    report.mShares = mShares;
  }
  report.mCounts = mOwn;
  return report;
}

void
RolloutMachine::Report(RolloutOutput* aOutput, Instant aNow)
{
  if (!mMustReport && (!IsOpen() || aNow < mNextReport)) {
    return;
  }
  const bool toAll = mMustReportToAll || IsCoordinator();
  std::vector<NodeName> receivers = toAll ? mServing : mLeaders;
  std::erase(receivers, mSetup.mSelf.mName);
  mMustReport = false;
  mMustReportToAll = false;
  const Duration memberPeriod =
    mPhase == RolloutPhase::Switching ? kSwitchingPeriod : kReportPeriod;
  mNextReport = aNow + (IsCoordinator() ? kCoordinatorPeriod : memberPeriod);
  if (!receivers.empty()) {
    aOutput->mDispatches.push_back(
      RolloutDispatch{ OwnReport(aNow), std::move(receivers) });
  }
}

} // namespace verbenachute
