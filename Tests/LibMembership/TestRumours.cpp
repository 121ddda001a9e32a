#include <LibMembership/MemberTable.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace verbenachute {

namespace {

constexpr Instant kStart{ seconds(1000) };

MemberDescription
Node(const std::string& aName, MemberPhase aPhase = MemberPhase::Live)
{
  MemberDescription node;
  node.mIdentity = { NodeName(aName), Incarnation(1) };
  node.mPeerAddress = { aName, 2 };
  node.mRegion = Region("r");
  node.mPhase = aPhase;
  return node;
}

MemberHeartbeat
BeatWith(const MemberDescription& aSender,
         std::uint64_t aCounter,
         std::vector<MemberRumour> aRumours)
{
  return MemberHeartbeat{ aSender, aCounter, Incarnation(1),
                          1,       {},       std::move(aRumours) };
}

MemberState
StateOf(const MemberTable& aTable, const char* aName, Instant aNow)
{
  const std::optional<Member> member = aTable.Find(NodeName(aName), aNow);
  REQUIRE(member.has_value());
  return member->mState;
}

std::vector<NodeName>
Fleet(std::size_t aNodes)
{
  std::vector<NodeName> names;
  for (std::size_t i = 0; i < aNodes; ++i) {
    names.push_back(NodeName("node-" + std::to_string(i)));
  }
  std::ranges::sort(names);
  return names;
}

std::vector<NodeName>
Without(std::vector<NodeName> aNames, const NodeName& aName)
{
  std::erase(aNames, aName);
  return aNames;
}

} // namespace

TEST_CASE("A rumour makes a node known and its leave, and proves no life")
{
  MemberTable table(Node("a"), {}, 1, kStart);
  static_cast<void>(table.Tick(kStart));
  table.OnHeartbeat(
    BeatWith(Node("b"), 1, { { MemberRumour::Kind::Heard, Node("c"), 5 } }),
    kStart);
  CHECK(StateOf(table, "c", kStart) == MemberState::Unheard);
  CHECK(table.Offered(kStart).size() == 2);
  const MemberActions next = table.Tick(kStart + milliseconds(500));
  REQUIRE(next.mSend.size() == 2);
  // What is new is passed on.
  CHECK_FALSE(next.mSend[0].mHeartbeat.mRumours.empty());
  table.OnHeartbeat(BeatWith(Node("c"), 6, {}), kStart);
  CHECK(table.Offered(kStart).size() == 3);
  table.OnHeartbeat(
    BeatWith(
      Node("b"),
      2,
      { { MemberRumour::Kind::Heard, Node("c", MemberPhase::Leaving), 7 } }),
    kStart);
  CHECK(StateOf(table, "c", kStart) == MemberState::Leaving);
  CHECK(table.Offered(kStart).size() == 2);
}

TEST_CASE("A rumour of death counts only for a node that is silent here too")
{
  MemberTable table(Node("a"), {}, 1, kStart);
  static_cast<void>(table.Tick(kStart));
  table.OnHeartbeat(BeatWith(Node("c"), 6, {}), kStart);
  const MemberRumour dead{ MemberRumour::Kind::Dead, Node("c"), 6 };
  table.OnHeartbeat(BeatWith(Node("b"), 1, { dead }), kStart);
  CHECK(StateOf(table, "c", kStart) == MemberState::Alive);
  const Instant silent = kStart + seconds(3);
  table.OnHeartbeat(BeatWith(Node("b"), 2, { dead }), silent);
  CHECK(StateOf(table, "c", silent) == MemberState::Dead);
  // A larger counter refutes it.
  static_cast<void>(table.Tick(silent));
  MemberHeartbeat alive = BeatWith(Node("c"), 7, {});
  alive.mEcho = 2;
  table.OnHeartbeat(alive, silent);
  CHECK(StateOf(table, "c", silent) == MemberState::Alive);
}

TEST_CASE("Rumours are bounded in each message and in their repeats")
{
  RumourQueue queue(2, 3);
  for (int i = 0; i < 1000; ++i) {
    queue.Add({ MemberRumour::Kind::Heard, Node("n" + std::to_string(i)), 1 });
  }
  std::size_t sent = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::vector<MemberRumour> rumours = queue.Next();
    CHECK(rumours.size() <= 2);
    sent += rumours.size();
  }
  CHECK(sent == 64 * 3);
}

TEST_CASE("A fleet of today's size is one cell")
{
  const std::vector<NodeName> fleet = Fleet(9);
  ProbeSchedule schedule(16, 2, 1);
  const std::vector<NodeName> others = Without(fleet, fleet[0]);
  CHECK(schedule.Next(fleet[0], others, others) == others);
}

TEST_CASE("At the planned size the cost of a period does not grow")
{
  const std::vector<NodeName> fleet = Fleet(7300);
  const std::vector<NodeName> others = Without(fleet, fleet[0]);
  ProbeSchedule schedule(16, 2, 1);
  const std::vector<NodeName> cell = schedule.CellOf(fleet[0], others);
  CHECK(cell.size() < 24);
  for (const NodeName& node : cell) {
    // Both ends of a pair agree that they share a cell.
    const std::vector<NodeName> back =
      ProbeSchedule(16, 2, 2).CellOf(node, Without(fleet, node));
    CHECK(std::ranges::binary_search(back, fleet[0]));
  }
  std::set<NodeName> far;
  for (std::size_t i = 0; i < 40; ++i) {
    const std::vector<NodeName> probed =
      schedule.Next(fleet[0], others, others);
    CHECK(probed.size() <= cell.size() + 2);
    far.insert(probed.begin() + static_cast<std::ptrdiff_t>(cell.size()),
               probed.end());
  }
  // Each node has one turn in a round, so none comes twice in 40 periods.
  CHECK(far.size() >= 78);
}

} // namespace verbenachute
