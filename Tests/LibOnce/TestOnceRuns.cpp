#include "OnceRig.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <cstdio>
#include <cstdlib>

namespace verbenachute {

namespace {

constexpr std::size_t kNodes = 4;
constexpr int kActions = 2000;

std::uint64_t
SeedCount()
{
  const char* seeds = std::getenv("VERBENACHUTE_TEST_SEEDS");
  return seeds == nullptr ? 30 : std::strtoull(seeds, nullptr, 10);
}

// A caller's logical request: the ticket of its first sending, and the last
// sending under it.
struct Logical
{
  NodeIdentity mTicket;
  std::size_t mSending = 0;
};

class RandomRun
{
public:
  explicit RandomRun(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mRig(kNodes, SmallTable())
  {
  }

  // The first broken promise; empty if all held.
  std::string Run()
  {
    for (int i = 0; i < kActions; ++i) {
      Act();
      const std::string violation = i % 50 == 0 ? mRig.Violation() : "";
      if (!violation.empty()) {
        return violation + " by action " + std::to_string(i) + ":" + mTrace;
      }
    }
    for (std::size_t node = 0; node < kNodes; ++node) {
      mRig.Thaw(node);
    }
    mRig.RunFor(seconds(5));
    const std::string violation = mRig.Violation();
    return (violation.empty() ? mRig.Unanswered() : violation);
  }

  [[nodiscard]] std::size_t Ran() const
  {
    std::size_t ran = 0;
    for (std::uint64_t id = 0; id < mRequests.size(); ++id) {
      ran += mRig.Executions(id);
    }
    return ran;
  }

private:
  static OnceTable::Settings SmallTable()
  {
    // Small enough that tables are full and tickets run out now and then.
    OnceTable::Settings settings;
    settings.mMaxEntries = 24;
    settings.mMaxWaiters = 3;
    settings.mTickets.mIssuePeriod = milliseconds(300);
    settings.mTickets.mValidity = seconds(2);
    settings.mTickets.mMargin = milliseconds(200);
    settings.mTickets.mShortestPeriod = milliseconds(20);
    return settings;
  }

  std::size_t Pick(std::size_t aCount) { return mRandom(aCount); }

  Duration TimeLeft() { return milliseconds(1 + Pick(40)); }

  void Note(const char* aWhat, std::size_t aFirst, std::size_t aSecond)
  {
    mTrace += std::string(" ") + aWhat + "(" + std::to_string(aFirst) + "," +
              std::to_string(aSecond) + ")";
    if (mTrace.size() > 2000) {
      mTrace.erase(0, 1000);
    }
  }

  void SendNew()
  {
    const std::optional<NodeIdentity> ticket = mRig.TicketOf(Pick(kNodes));
    if (ticket) {
      const std::uint64_t id = mRequests.size();
      const std::size_t node = Pick(kNodes);
      Note("send", id, node);
      mRequests.push_back(
        Logical{ *ticket, mRig.Send(node, id, *ticket, TimeLeft()) });
    }
  }

  void Repeat()
  {
    if (mRequests.empty()) {
      return;
    }
    const std::size_t recent = std::min<std::size_t>(mRequests.size(), 20);
    const std::uint64_t id = mRequests.size() - 1 - Pick(recent);
    Logical& logical = mRequests[id];
    const std::size_t node = Pick(kNodes);
    if (mRig.OutcomeOf(logical.mSending) == Execution::NotRun) {
      // Only "not run" lets a caller send the request under a new ticket.
      logical.mTicket = mRig.TicketOf(Pick(kNodes)).value_or(logical.mTicket);
    }
    Note("repeat", id, node);
    logical.mSending = mRig.Send(node, id, logical.mTicket, TimeLeft());
  }

  void Act()
  {
    const std::size_t node = Pick(kNodes);
    const std::size_t other = Pick(kNodes);
    const std::size_t choice = Pick(100);
    if (choice < 25) {
      SendNew();
    } else if (choice < 60) {
      Repeat();
    } else if (choice < 62) {
      Note("restart", node, 0);
      mRig.Restart(node);
    } else if (choice < 66) {
      Note("freeze", node, 0);
      mRig.Freeze(node);
    } else if (choice < 72) {
      Note("thaw", node, 0);
      mRig.Thaw(node);
    } else if (choice < 74) {
      Note("cut", node, other);
      mRig.Cut(node, other);
    } else if (choice < 78) {
      Note("heal", node, other);
      mRig.Heal(node, other);
    } else if (choice < 79) {
      mRig.RunFor(milliseconds(Pick(3000)));
    } else {
      mRig.RunFor(milliseconds(Pick(15)));
    }
  }

  pcg32 mRandom;
  OnceRig mRig;
  std::vector<Logical> mRequests;
  std::string mTrace;
};

} // namespace

TEST_CASE("Random schedules keep every request at most once")
{
  std::size_t ran = 0;
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    RandomRun run(seed);
    const std::string broken = run.Run();
    CAPTURE(seed);
    CAPTURE(broken);
    CHECK(broken.empty());
    ran += run.Ran();
  }
  // A rig in which nothing runs would prove nothing.
  CHECK(ran > SeedCount() * 100);
  std::printf("runs at-most-once: seeds 1 to %llu, %zu requests ran\n",
              static_cast<unsigned long long>(SeedCount()),
              ran);
}

} // namespace verbenachute
