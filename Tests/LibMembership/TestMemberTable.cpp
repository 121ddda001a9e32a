#include <LibMembership/AddressAnswerer.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/PauseDetector.h>

#include <doctest/doctest.h>

#include <map>
#include <set>

namespace verbenachute {

namespace {

constexpr Instant kStart{ seconds(1000) };

MemberDescription
Node(const std::string& aName, std::uint64_t aIncarnation = 1)
{
  MemberDescription node;
  node.mIdentity = { NodeName(aName), Incarnation(aIncarnation) };
  node.mCallerAddress = { aName, 1 };
  node.mPeerAddress = { aName, 2 };
  node.mDomain = FailureDomain("d" + std::to_string(aName.back() % 3));
  node.mRegion = Region("r");
  node.mTicket = Incarnation(aIncarnation + 7);
  return node;
}

ListedVm
Listed(const MemberDescription& aNode, MemberPhase aPhase = MemberPhase::Live)
{
  return ListedVm{ aNode.mIdentity.mName,
                   aNode.mCallerAddress,
                   aNode.mPeerAddress,
                   aNode.mOperatorAddress,
                   aNode.mDomain,
                   aNode.mRegion,
                   aPhase };
}

// A heartbeat of another node that echoes the newest one of the table.
MemberHeartbeat
Beat(const MemberDescription& aSender,
     std::uint64_t aCounter,
     std::uint64_t aEcho)
{
  return MemberHeartbeat{ aSender, aCounter, Incarnation(1), aEcho, {}, {} };
}

// Lets both nodes exchange heartbeats and returns the state of "b".
MemberState
StateOfB(const MemberTable& aTable, Instant aNow)
{
  const std::optional<Member> member = aTable.Find(NodeName("b"), aNow);
  return member ? member->mState : MemberState::Unheard;
}

std::set<std::string>
OfferedBy(const MemberTable& aTable, Instant aNow)
{
  std::set<std::string> names;
  for (const MemberDescription& node : aTable.Offered(aNow)) {
    names.insert(node.mIdentity.mName.value());
  }
  return names;
}

using Names = std::set<std::string>;

} // namespace

TEST_CASE("A peer is alive by its echo, suspect by silence and refutes it")
{
  MemberTable table(Node("a"), {}, 1, kStart);
  static_cast<void>(table.Tick(kStart));
  CHECK(table.OnHeartbeat(Beat(Node("b"), 1, 0), kStart).empty());
  CHECK(StateOfB(table, kStart) == MemberState::Unheard);
  const std::vector<MemberChange> joined =
    table.OnHeartbeat(Beat(Node("b"), 2, 1), kStart + seconds(1));
  REQUIRE(joined.size() == 1);
  CHECK(joined[0].mKind == MemberChange::Kind::Joined);
  CHECK(StateOfB(table, kStart + milliseconds(2499)) == MemberState::Alive);
  // The silence counts from the heartbeat that was echoed.
  const MemberActions silent = table.Tick(kStart + milliseconds(2500));
  REQUIRE(silent.mChanges.size() == 1);
  CHECK(silent.mChanges[0].mKind == MemberChange::Kind::Suspected);
  CHECK(OfferedBy(table, kStart + milliseconds(2500)) == Names{ "a" });
  CHECK(StateOfB(table, kStart + seconds(11)) == MemberState::Dead);
  const std::vector<MemberChange> refuted =
    table.OnHeartbeat(Beat(Node("b"), 3, 2), kStart + seconds(3));
  REQUIRE(refuted.size() == 1);
  CHECK(refuted[0].mKind == MemberChange::Kind::Refuted);
  CHECK(OfferedBy(table, kStart + seconds(3)) == Names{ "a", "b" });
}

TEST_CASE("Messages that waited in a socket prove nothing new")
{
  MemberTable table(Node("a"), {}, 1, kStart);
  static_cast<void>(table.Tick(kStart));
  table.OnHeartbeat(Beat(Node("b"), 1, 1), kStart);
  const Instant woken = kStart + seconds(60);
  table.OnWake(woken);
  // Nor does the own pause make the others dead.
  CHECK(StateOfB(table, woken) == MemberState::Suspect);
  table.OnHeartbeat(Beat(Node("b"), 2, 1), woken);
  CHECK(OfferedBy(table, woken) == Names{ "a" });
  CHECK(StateOfB(table, woken) == MemberState::Suspect);
}

TEST_CASE("An echo to an earlier life of this node proves nothing")
{
  MemberTable table(Node("a", 2), {}, 1, kStart);
  static_cast<void>(table.Tick(kStart));
  table.OnHeartbeat(Beat(Node("b"), 1, 1), kStart);
  CHECK(OfferedBy(table, kStart) == Names{ "a" });
}

TEST_CASE("An earlier life or an overtaken heartbeat changes nothing")
{
  MemberTable table(Node("a"), {}, 1, kStart);
  static_cast<void>(table.Tick(kStart));
  MemberDescription leaving = Node("b", 5);
  leaving.mPhase = MemberPhase::Leaving;
  table.OnHeartbeat(Beat(leaving, 9, 1), kStart);
  table.OnHeartbeat(Beat(Node("b", 5), 8, 1), kStart);
  table.OnHeartbeat(Beat(Node("b", 5), 10, 1), kStart);
  table.OnHeartbeat(Beat(Node("b", 4), 99, 1), kStart);
  CHECK(StateOfB(table, kStart) == MemberState::Leaving);
  CHECK(OfferedBy(table, kStart) == Names{ "a" });
  const std::vector<MemberChange> changes =
    table.OnHeartbeat(Beat(Node("b", 6), 1, 1), kStart);
  REQUIRE(!changes.empty());
  CHECK(changes[0].mKind == MemberChange::Kind::Replaced);
  CHECK(OfferedBy(table, kStart) == Names{ "a", "b" });
  table.OnHeartbeat(Beat(leaving, 999, 1), kStart);
  CHECK(OfferedBy(table, kStart) == Names{ "a", "b" });
}

TEST_CASE("The VM list adds nodes, and neither offers nor removes any")
{
  MemberTable table(Node("a"), {}, 1, kStart);
  table.OnVmList({ Listed(Node("a")), Listed(Node("b")), Listed(Node("c")) },
                 kStart);
  CHECK(table.Tick(kStart).mSend.size() == 2);
  CHECK(OfferedBy(table, kStart) == Names{ "a" });
  table.OnHeartbeat(Beat(Node("b"), 1, 1), kStart);
  table.OnVmList({}, kStart);
  CHECK(OfferedBy(table, kStart) == Names{ "a", "b" });
  CHECK(table.Members(kStart).size() == 1);
  table.OnVmList({ Listed(Node("b"), MemberPhase::Leaving) }, kStart);
  CHECK(OfferedBy(table, kStart) == Names{ "a" });
  table.Self().mPhase = MemberPhase::Leaving;
  CHECK(OfferedBy(table, kStart) == Names{ "b" });
}

TEST_CASE("A seed gets heartbeats until its node is known")
{
  MemberTable table(Node("a"), {}, 1, kStart);
  table.AddSeed({ "b", 2 });
  table.AddSeed({ "a", 2 });
  const MemberActions first = table.Tick(kStart);
  REQUIRE(first.mSend.size() == 1);
  CHECK(first.mSend[0].mPeerAddress == SocketAddress{ "b", 2 });
  CHECK(table.Tick(kStart + milliseconds(499)).mSend.empty());
  table.OnHeartbeat(Beat(Node("b"), 1, 1), kStart);
  CHECK(table.Tick(kStart + milliseconds(500)).mSend.size() == 1);
}

TEST_CASE("A node learns that a newer life has its name")
{
  MemberTable table(Node("a"), {}, 1, kStart);
  MemberHeartbeat beat = Beat(Node("b"), 1, 1);
  beat.mEchoOf = Incarnation(2);
  for (const MemberHeartbeat& message : { beat, Beat(Node("a", 2), 1, 0) }) {
    const std::vector<MemberChange> changes =
      table.OnHeartbeat(message, kStart);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].mKind == MemberChange::Kind::SelfReplaced);
  }
}

TEST_CASE("Callers spread evenly, over domains, and only move with their node")
{
  MemberTable table(Node("n0"), {}, 1, kStart);
  static_cast<void>(table.Tick(kStart));
  for (int i = 1; i < 9; ++i) {
    table.OnHeartbeat(Beat(Node("n" + std::to_string(i)), 1, 1), kStart);
  }
  AddressAnswerer answerer({});
  std::map<std::string, int> callers;
  std::vector<std::string> firsts;
  for (int i = 0; i < 9000; ++i) {
    const Result<AddressAnswer> answer =
      answerer.Answer(CallerId(std::to_string(i)), table, kStart);
    REQUIRE(!IsError(answer));
    REQUIRE(ValueOf(answer).mAddresses.size() == 3);
    std::set<int> domains;
    for (const SocketAddress& address : ValueOf(answer).mAddresses) {
      domains.insert(address.mHost.back() % 3);
    }
    CHECK(domains.size() == 3);
    firsts.push_back(ValueOf(answer).mAddresses[0].mHost);
    CHECK(ValueOf(answer).mTicket.mName.value() == firsts.back());
    CHECK(ValueOf(answer).mTicket.mIncarnation == Incarnation(8));
    ++callers[firsts.back()];
  }
  for (const auto& [name, count] : callers) {
    CHECK(count > 850);
    CHECK(count < 1150);
  }
  MemberDescription leaving = Node("n4");
  leaving.mPhase = MemberPhase::Leaving;
  table.OnHeartbeat(Beat(leaving, 2, 1), kStart);
  for (std::size_t i = 0; i < firsts.size(); ++i) {
    const Result<AddressAnswer> answer =
      answerer.Answer(CallerId(std::to_string(i)), table, kStart);
    const std::string now = ValueOf(answer).mAddresses[0].mHost;
    CHECK(now != "n4");
    CHECK((now == firsts[i] || firsts[i] == "n4"));
  }
  CHECK(answerer.LatestExpiry() == kStart + seconds(5));
}

TEST_CASE("A leaving node without a live peer gives no address")
{
  MemberTable table(Node("a"), {}, 1, kStart);
  table.Self().mPhase = MemberPhase::Leaving;
  AddressAnswerer answerer({});
  const Result<AddressAnswer> answer =
    answerer.Answer(CallerId("x"), table, kStart);
  REQUIRE(IsError(answer));
  CHECK(ErrorOf(answer).mCode == ErrorCode::Unavailable);
}

TEST_CASE("A pause is noticed by the gap between two turns of the timer")
{
  PauseDetector detector(seconds(1));
  CHECK_FALSE(detector.Observe(kStart).has_value());
  CHECK_FALSE(detector.Observe(kStart + seconds(1)).has_value());
  CHECK(detector.Observe(kStart + seconds(4)) == seconds(3));
  CHECK_FALSE(detector.Observe(kStart + seconds(4)).has_value());
}

} // namespace verbenachute
