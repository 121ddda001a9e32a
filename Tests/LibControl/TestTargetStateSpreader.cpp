#include <LibControl/TargetStateSpreader.h>

#include <doctest/doctest.h>
#include <pcg_random.hpp>

namespace verbenachute {

namespace {

NodeIdentity
Peer(std::uint64_t aLife)
{
  return NodeIdentity{ NodeName("peer"), Incarnation(aLife) };
}

TargetState
State(std::uint32_t aTarget, std::uint64_t aSequence)
{
  return TargetState{ TargetName("t" + std::to_string(aTarget)),
                      TargetCondition::Ready,
                      {},
                      aSequence };
}

} // namespace

TEST_CASE("A peer gets changes once and a new life gets everything")
{
  TargetStateSpreader spreader;
  spreader.OnState(State(1, 1));
  spreader.OnState(State(2, 1));
  spreader.OnPeers({ Peer(1) });
  std::vector<StateDelivery> due = spreader.Due();
  REQUIRE(due.size() == 1);
  CHECK(due[0].mStates.size() == 2);
  CHECK(spreader.Due().empty());
  spreader.OnConfirmed(Peer(1), due[0].mPosition);
  CHECK(spreader.Due().empty());

  spreader.OnState(State(2, 2));
  due = spreader.Due();
  REQUIRE(due.size() == 1);
  REQUIRE(due[0].mStates.size() == 1);
  CHECK(due[0].mStates[0].mSequence == 2);

  spreader.OnPeers({ Peer(2) });
  due = spreader.Due();
  REQUIRE(due.size() == 1);
  CHECK(due[0].mStates.size() == 2);
  spreader.OnConfirmed(Peer(1), SpreadPosition(99));
}

TEST_CASE("Lost deliveries and confirmations lose no state")
{
  pcg32 random(11);
  TargetStateSpreader spreader;
  spreader.OnPeers({ Peer(1) });
  std::map<TargetName, std::uint64_t> sent;
  std::map<TargetName, std::uint64_t> received;
  const auto deliver = [&](std::uint32_t aLossInTen) {
    for (const StateDelivery& delivery : spreader.Due()) {
      const bool arrives = random(10) >= aLossInTen;
      if (arrives) {
        for (const TargetState& state : delivery.mStates) {
          received[state.mTarget] = state.mSequence;
        }
      }
      if (arrives && random(10) >= aLossInTen) {
        spreader.OnConfirmed(delivery.mPeer, delivery.mPosition);
      } else {
        spreader.OnFailed(delivery.mPeer);
      }
    }
  };
  for (std::uint64_t round = 1; round <= 5000; ++round) {
    const TargetState state = State(random(600), round);
    spreader.OnState(state);
    sent[state.mTarget] = round;
    deliver(4);
  }
  for (int round = 0; round < 10; ++round) {
    deliver(0);
  }
  CHECK(received == sent);
}

} // namespace verbenachute
