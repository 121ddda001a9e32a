#include "ConfigurationWorld.h"

#include <cstdio>

namespace verbenachute {

namespace {

struct StepRow
{
  ChangeStep mStep;
  const char* mName;
};

constexpr StepRow kSteps[] = {
  { ChangeStep::ReadHead, "read head" },
  { ChangeStep::ReadPart, "read part" },
  { ChangeStep::WritePart, "write part" },
  { ChangeStep::SwapHead, "swap head" },
  { ChangeStep::Watch, "watch" },
  { ChangeStep::PeerRevision, "peer tells revision" },
  { ChangeStep::PeerHead, "peer serves head" },
  { ChangeStep::PeerPart, "peer serves part" },
};

/// What strikes while a step is under way: on how many of its calls, and what
/// happens at the first one.
struct FaultColumn
{
  const char* mName;
  std::size_t mCalls;
  Fate mFate;
  void (*mStrike)(ConfigurationWorld*);
};

constexpr std::size_t kEveryCall = 100'000;

Fate
Lost()
{
  return { .mLost = true };
}

void
DoNothing(ConfigurationWorld*)
{
}

const FaultColumn kFaults[] = {
  { "down", kEveryCall, Lost(), DoNothing },
  { "slow", 6, { .mDelay = milliseconds(2'500) }, DoNothing },
  { "lost request", 1, Lost(), DoNothing },
  { "lost reply", 1, { .mReplyLost = true }, DoNothing },
  { "every reply lost", kEveryCall, { .mReplyLost = true }, DoNothing },
  { "duplicate", 3, { .mTwice = true }, DoNothing },
  { "reordered", 1, { .mDelay = milliseconds(900) }, DoNothing },
  { "operator race",
    0,
    {},
    [](ConfigurationWorld* aWorld) { aWorld->RaceLabel(); } },
  { "lost reply and race",
    1,
    { .mReplyLost = true },
    [](ConfigurationWorld* aWorld) { aWorld->RaceLabel(); } },
  { "writer restarts",
    1,
    { .mDelay = milliseconds(50) },
    [](ConfigurationWorld* aWorld) { aWorld->Restart(0); } },
  { "follower restarts, down",
    kEveryCall,
    Lost(),
    [](ConfigurationWorld* aWorld) { aWorld->Restart(1); } },
};

/// How long a fault lasts; a write is over by then.
constexpr Duration kFaultTime = seconds(12);

/// Runs one cell: a change while the fault strikes, one after it, and the
/// checks of the world. Every cell can occur, as each step is a call between
/// two processes.
std::size_t
BrokenIn(ChangeStep aStep, const FaultColumn& aFault)
{
  ConfigurationWorld world(3);
  std::size_t calls = 0;
  bool struck = false;
  const Instant end = world.Now() + kFaultTime;
  world.SetChooser([&](ChangeStep aCall, std::size_t) {
    if (aCall != aStep || world.Now() >= end) {
      return Fate{};
    }
    if (!struck) {
      struck = true;
      aFault.mStrike(&world);
    }
    return calls++ < aFault.mCalls ? aFault.mFate : Fate{};
  });
  world.SubmitLabel(0);
  world.RunFor(milliseconds(40));
  world.SubmitLabel(1);
  world.RunFor(kFaultTime);
  world.SubmitLabel(2);
  world.Settle();
  return world.Broken();
}

} // namespace

TEST_CASE("A writer that gives up takes no part of another one away")
{
  ConfigurationWorld world(2);
  world.SetChooser([](ChangeStep aStep, std::size_t aNode) {
    return Fate{ .mReplyLost = aStep == ChangeStep::WritePart && aNode == 0 };
  });
  // Both write a part with the same labels; the first never learns that it
  // did, and deletes it in the end.
  world.SubmitLabel(0, "same");
  world.SubmitLabel(1, "same");
  world.RunFor(seconds(12));
  CHECK(world.Failed() == 1);
  CHECK(world.Accepted() == 1);
  world.Settle();
}

TEST_CASE("A conflict that can be settled is no failure")
{
  struct Row
  {
    const char* mName;
    Fate mFate;
    void (*mStrike)(ConfigurationWorld*);
  };
  for (const Row& row :
       { Row{ "another operator came first",
              {},
              [](ConfigurationWorld* aWorld) { aWorld->RaceLabel(); } },
         Row{ "the conflict is with the swap itself",
              { .mReplyLost = true, .mTwice = true },
              DoNothing } }) {
    CAPTURE(row.mName);
    ConfigurationWorld world(2);
    bool struck = false;
    world.SetChooser([&](ChangeStep aStep, std::size_t) {
      if (aStep != ChangeStep::SwapHead || struck) {
        return Fate{};
      }
      struck = true;
      row.mStrike(&world);
      return row.mFate;
    });
    const std::size_t before = world.Accepted();
    world.SubmitLabel(0);
    world.RunFor(seconds(3));
    CHECK(struck);
    CHECK(world.Accepted() > before);
    CHECK(world.Failed() + world.Unknown() == 0);
    world.Settle();
  }
}

TEST_CASE("Faults at the steps of a configuration change")
{
  std::size_t held = 0;
  std::size_t cells = 0;
  for (const StepRow& step : kSteps) {
    for (const FaultColumn& fault : kFaults) {
      CAPTURE(step.mName);
      CAPTURE(fault.mName);
      const bool holds = BrokenIn(step.mStep, fault) == 0;
      ++cells;
      held += holds ? 1 : 0;
      std::printf("configuration | %-20s | %-24s | %s\n",
                  step.mName,
                  fault.mName,
                  holds ? "held" : "failed");
    }
  }
  std::printf("cells %zu, held %zu, failed %zu, not applicable 0\n",
              cells,
              held,
              cells - held);
}

} // namespace verbenachute
