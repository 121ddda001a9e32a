#include "StoreSimulation.h"

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

using Availability = StoreSimulation::Availability;

constexpr std::size_t kNodes = 9;
constexpr std::size_t kTargets = 4;
// A shorter outage may pass between the probes of all nodes.
constexpr Duration kShortestOutage = milliseconds(1250);
// Silence after which the entry of a target that runs lapses.
constexpr Duration kLapseTime = milliseconds(3600);

std::string
TargetText(std::size_t aNumber)
{
  return "target-" + std::to_string(aNumber);
}

/// Draws outages, cuts, lost answers, losses of history, stale reads, changes
/// and removals in any order.
class RandomisedRun
{
public:
  explicit RandomisedRun(std::uint32_t aSeed)
    : mRandom(aSeed)
    , mStore(kNodes, aSeed)
  {
    for (; mTargets < kTargets; ++mTargets) {
      mStore.Register(TargetText(mTargets));
    }
    constexpr Duration kReadAges[] = { milliseconds(0),
                                       milliseconds(300),
                                       milliseconds(5500) };
    mStore.mReadAge = kReadAges[Draw(3)];
    mHasHeartbeats = Draw(2) == 0;
    mStore.Pass(seconds(2));
  }

  void Run(Duration aTime)
  {
    const Instant end = mStore.Now() + aTime;
    while (mStore.Now() < end) {
      PerformRandomEvent();
      Pass(milliseconds(Draw(3000)));
    }
    Pass(StoreSimulation::kContactTime + StoreSimulation::kApplyTime);
  }

  [[nodiscard]] const StoreSimulation& Store() const { return mStore; }

private:
  std::uint32_t Draw(std::uint32_t aBelow) { return mRandom() % aBelow; }

  void Pass(Duration aTime)
  {
    constexpr Duration kStep = milliseconds(100);
    for (Duration passed(0); passed < aTime; passed += kStep) {
      mStore.Pass(kStep);
      if (mHasHeartbeats && Draw(4) == 0) {
        Reregister();
      }
    }
  }

  void Reregister()
  {
    if (!mIsOut) {
      const std::uint32_t number = Draw(static_cast<std::uint32_t>(mTargets));
      if (mStore.Running().contains(TargetText(number))) {
        mStore.Register(TargetText(number));
      }
    }
  }

  void PerformRandomEvent()
  {
    switch (Draw(8)) {
      case 0:
      case 1:
        return Outage();
      case 2:
        mStore.mLossPercent = 35;
        Pass(milliseconds(Draw(4500)));
        mStore.mLossPercent = 0;
        return;
      case 3:
        return mStore.DropHistory();
      case 4:
        return mStore.CutWatches();
      case 5:
        return Replace();
      default:
        return mStore.WriteConfiguration();
    }
  }

  void Outage()
  {
    constexpr Availability kKinds[] = { Availability::Silent,
                                        Availability::Refuses,
                                        Availability::Resets };
    const Duration length = kShortestOutage + milliseconds(Draw(4500));
    const Duration cutAfter = milliseconds(Draw(8000));
    mStore.SetAvailability(kKinds[Draw(3)]);
    mIsOut = true;
    const bool isCut = cutAfter < length;
    if (isCut) {
      Pass(cutAfter);
      mStore.CutWatches();
    }
    if (Draw(3) == 0) {
      mStore.DropHistory();
    }
    Pass(isCut ? length - cutAfter : length);
    const bool lapses = length > kLapseTime && Draw(2) == 0;
    for (const std::string& target : mStore.Running()) {
      if (lapses) {
        mStore.Lapse(target);
      }
    }
    mStore.SetAvailability(Availability::Answers);
    mIsOut = false;
    if (lapses) {
      RegisterAll(milliseconds(Draw(1900)));
      // The nodes have to hear of that before the next disturbance.
      Pass(seconds(1));
    }
  }

  /// Targets that run register again after the store's return.
  void RegisterAll(Duration aDelay)
  {
    mStore.Pass(aDelay);
    const std::set<std::string> running = mStore.Running();
    for (const std::string& target : running) {
      mStore.Register(target);
    }
  }

  /// A new target takes the place of another one.
  void Replace()
  {
    const std::string leaving = *mStore.Running().begin();
    mStore.Register(TargetText(mTargets++));
    Pass(milliseconds(Draw(1500)));
    if (Draw(2) == 0) {
      mStore.CutWatches();
      mStore.Pass(milliseconds(Draw(40)));
    }
    mStore.Remove(leaving);
    if (Draw(4) == 0) {
      mStore.Pass(milliseconds(Draw(300)));
      Outage();
    }
  }

  std::mt19937 mRandom;
  StoreSimulation mStore;
  std::size_t mTargets = 0;
  bool mHasHeartbeats = false;
  bool mIsOut = false;
};

std::string
FirstFault(const StoreSimulation& aStore)
{
  return aStore.Faults().empty() ? "" : aStore.Faults().front();
}

} // namespace

// Guards against configurations that are in force late and targets that are
// used too long or given up, whatever happens to the store and its watches.
TEST_CASE("Changes take effect in time after any order of disturbances")
{
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    RandomisedRun run(seed);
    run.Run(seconds(60));
    CAPTURE(seed);
    CHECK(FirstFault(run.Store()) == "");
  }
}

} // namespace verbenachute
