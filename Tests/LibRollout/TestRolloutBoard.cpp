#include <LibRollout/RolloutBoard.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

ListedTarget
Target(const std::string& aVersion)
{
  ListedTarget target;
  target.mService = ServiceName("s");
  target.mSoftwareVersion = aVersion;
  return target;
}

} // namespace

// Guards against requests to versions that no order allows, and against a
// filter without an order.
TEST_CASE("An order decides which versions get requests, and only an order")
{
  const Instant now(seconds(10));
  RolloutBoard board;
  CHECK(board.RankOf(Target("v3"), "r") == VersionRank::Preferred);
  RolloutMachine::Setup setup;
  setup.mOrder =
    RolloutOrder{ ServiceName("s"), "v2", seconds(12), StoreRevision(5) };
  setup.mOldVersions = { "v1" };
  setup.mStart = now;
  board.Set(ServiceName("s"), std::make_unique<RolloutMachine>(setup, now));
  RolloutMachine* machine = board.Find(ServiceName("s"));
  REQUIRE(machine != nullptr);
  CHECK(board.RankOf(Target("v1"), "r") == VersionRank::Preferred);
  CHECK(board.RankOf(Target("v2"), "r") == VersionRank::Excluded);
  CHECK(board.RankOf(Target("v3"), "r") == VersionRank::Excluded);
  RolloutRecord record;
  record.mOrder = StoreRevision(5);
  record.mPhase = RolloutPhase::Done;
  machine->OnRecord(record, StoreRevision(9), UnixMilliseconds(0), now);
  CHECK(board.RankOf(Target("v1"), "r") == VersionRank::Excluded);
  CHECK(board.RankOf(Target("v2"), "r") == VersionRank::Preferred);
  CHECK(machine->VersionsInForce() == std::vector<std::string>{ "v2" });
  board.Set(ServiceName("s"), nullptr);
  CHECK(board.RankOf(Target("v3"), "r") == VersionRank::Preferred);
}

// Guards against a record of an earlier order that is taken for this one's.
TEST_CASE("A record of another order gives no phase")
{
  const Instant now(seconds(10));
  RolloutMachine::Setup setup;
  setup.mOrder =
    RolloutOrder{ ServiceName("s"), "v2", seconds(12), StoreRevision(5) };
  RolloutMachine machine(setup, now);
  RolloutRecord record;
  record.mOrder = StoreRevision(4);
  record.mPhase = RolloutPhase::Done;
  machine.OnRecord(record, StoreRevision(4), UnixMilliseconds(0), now);
  CHECK(machine.Phase() == RolloutPhase::Unknown);
}

} // namespace verbenachute
