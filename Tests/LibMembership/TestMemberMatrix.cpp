#include "MemberRig.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <array>
#include <cstdio>
#include <cstdlib>

namespace verbenachute {

namespace {

constexpr std::size_t kNodes = 4;
constexpr std::size_t kLeaver = 1;
constexpr std::size_t kPeer = 2;
constexpr std::size_t kThird = 3;

struct LeaveStep
{
  const char* mName;
  /// Time from the signal; negative for before it.
  Duration mAt;
};

constexpr std::array kSteps = {
  LeaveStep{ "before the signal", milliseconds(-700) },
  LeaveStep{ "announcing", milliseconds(20) },
  LeaveStep{ "confirming", milliseconds(550) },
  LeaveStep{ "answers run out", milliseconds(3000) },
  LeaveStep{ "handing over", milliseconds(6700) },
  LeaveStep{ "after the end", milliseconds(9000) },
};

struct MemberFault
{
  const char* mName;
  void (*mApply)(MemberRig& aRig);
};

const std::array kFaults = {
  MemberFault{ "none", [](MemberRig&) {} },
  MemberFault{ "peer killed", [](MemberRig& aRig) { aRig.Kill(kPeer); } },
  MemberFault{ "peer restarted", [](MemberRig& aRig) { aRig.Start(kPeer); } },
  MemberFault{ "peer frozen", [](MemberRig& aRig) { aRig.Freeze(kPeer); } },
  MemberFault{ "third peer frozen",
               [](MemberRig& aRig) { aRig.Freeze(kThird); } },
  MemberFault{ "leaver killed", [](MemberRig& aRig) { aRig.Kill(kLeaver); } },
  MemberFault{ "leaver restarted",
               [](MemberRig& aRig) { aRig.Start(kLeaver); } },
  MemberFault{ "leaver frozen", [](MemberRig& aRig) { aRig.Freeze(kLeaver); } },
  MemberFault{ "cut leaver to peer",
               [](MemberRig& aRig) { aRig.Cut(kLeaver, kPeer); } },
  MemberFault{ "cut peer to leaver",
               [](MemberRig& aRig) { aRig.Cut(kPeer, kLeaver); } },
  MemberFault{ "peer leaves too", [](MemberRig& aRig) { aRig.Leave(kPeer); } },
  MemberFault{
    "VM list lags",
    [](MemberRig& aRig) { aRig.SetList(MemberRig::ListState::Lagging); } },
  MemberFault{
    "VM list empty",
    [](MemberRig& aRig) { aRig.SetList(MemberRig::ListState::Empty); } },
  MemberFault{
    "platform down",
    [](MemberRig& aRig) { aRig.SetList(MemberRig::ListState::Down); } },
};

// How long the faults last: within the offer of a frozen node, within the
// validity of an answer, and past the end of the shutdown.
constexpr std::array kFaultTimes = { milliseconds(1500),
                                     milliseconds(4500),
                                     milliseconds(30'000) };

std::string
RunCell(const LeaveStep& aStep,
        const MemberFault& aFault,
        const MemberFault& aSecond,
        Duration aFaultTime)
{
  MemberRig rig(kNodes);
  rig.RunFor(seconds(5));
  if (!rig.Disagreement().empty()) {
    return "at the start, " + rig.Disagreement();
  }
  const Duration before =
    aStep.mAt < Duration::zero() ? -aStep.mAt : Duration::zero();
  if (aStep.mAt >= Duration::zero()) {
    rig.Leave(kLeaver);
    rig.RunFor(aStep.mAt);
  }
  aFault.mApply(rig);
  aSecond.mApply(rig);
  rig.RunFor(before);
  rig.Leave(kLeaver);
  rig.RunFor(aFaultTime);
  rig.MendAll();
  rig.RunFor(seconds(15));
  return rig.Violation().empty() ? rig.Disagreement() : rig.Violation();
}

std::uint64_t
SeedCount()
{
  const char* seeds = std::getenv("VERBENACHUTE_TEST_SEEDS");
  return seeds == nullptr ? 20 : std::strtoull(seeds, nullptr, 10);
}

void
Act(MemberRig& aRig, pcg32& aRandom)
{
  const std::size_t node = aRandom(kNodes);
  const std::size_t other = aRandom(kNodes);
  switch (aRandom(16)) {
    case 0:
      aRig.Leave(node);
      break;
    case 1:
      aRig.Kill(node);
      break;
    case 2:
    case 3:
      if (aRig.IsDown(node)) {
        aRig.Start(node);
      }
      break;
    case 4:
      aRig.Freeze(node);
      break;
    case 5:
    case 6:
      aRig.Thaw(node);
      break;
    case 7:
      aRig.Cut(node, other);
      break;
    case 8:
    case 9:
      aRig.Heal(node, other);
      break;
    case 10:
      aRig.SetList(static_cast<MemberRig::ListState>(aRandom(4)));
      break;
    default:
      aRig.RunFor(milliseconds(aRandom(3000)));
  }
}

} // namespace

TEST_CASE("A node leaves under pairs of faults at each step")
{
  int cells = 0;
  int held = 0;
  for (const LeaveStep& step : kSteps) {
    for (std::size_t i = 0; i < kFaults.size(); ++i) {
      // Both faults happen at the same moment, so each pair is run once.
      for (std::size_t j = i; j < kFaults.size(); ++j) {
        const MemberFault& fault = kFaults[i];
        const MemberFault& second = kFaults[j];
        for (const Duration time : kFaultTimes) {
          const std::string broken = RunCell(step, fault, second, time);
          CAPTURE(step.mName);
          CAPTURE(fault.mName);
          CAPTURE(second.mName);
          CAPTURE(time.count());
          CAPTURE(broken);
          CHECK(broken.empty());
          ++cells;
          held += broken.empty() ? 1 : 0;
        }
      }
    }
  }
  std::printf("matrix membership: cells %d, held %d, failed %d, "
              "not applicable 0\n",
              cells,
              held,
              cells - held);
}

TEST_CASE("Without a fault a node leaves in bounded time")
{
  MemberRig rig(kNodes);
  rig.RunFor(seconds(5));
  rig.Leave(kLeaver);
  rig.RunFor(seconds(5));
  CHECK_FALSE(rig.IsDown(kLeaver));
  rig.RunFor(milliseconds(3500));
  CHECK(rig.HasLeft(kLeaver));
  CHECK(rig.Violation().empty());
}

TEST_CASE("Random schedules never send a caller to a node that has left")
{
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    pcg32 random(seed);
    MemberRig rig(kNodes);
    for (int i = 0; i < 400 && rig.Violation().empty(); ++i) {
      Act(rig, random);
    }
    rig.MendAll();
    rig.RunFor(seconds(60));
    CAPTURE(seed);
    CAPTURE(rig.Violation());
    CHECK(rig.Violation().empty());
    CHECK(rig.Disagreement() == "");
  }
  std::printf("runs membership: seeds 1 to %llu\n",
              static_cast<unsigned long long>(SeedCount()));
}

} // namespace verbenachute
