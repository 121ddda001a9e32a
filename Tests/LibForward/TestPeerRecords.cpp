#include <LibForward/PeerRecords.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

const FailureDomain kFar("far");
const NodeName kSlowPeer("weak");
const NodeName kFastPeer("strong");
constexpr Instant kNow(seconds(50));

PeerRecords
TwoPeers()
{
  PeerRecords peers;
  peers.SetNodes({ PeerNode{ kSlowPeer, kFar, 100, PlanVersion(4) },
                   PeerNode{ kFastPeer, kFar, 400, PlanVersion(4) } });
  return peers;
}

} // namespace

TEST_CASE("The peer with the least load relative to its CPU is chosen")
{
  PeerRecords peers = TwoPeers();
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow) == kFastPeer);
  for (int i = 0; i < 4; ++i) {
    peers.OnSent(kFastPeer);
  }
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow) == kSlowPeer);
  peers.OnCompleted(kFastPeer);
  peers.OnCompleted(kFastPeer);
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow) == kFastPeer);
}

TEST_CASE("A peer without the plan or in another domain is not chosen")
{
  PeerRecords peers = TwoPeers();
  CHECK(peers.Choose(FailureDomain("other"), PlanVersion(4), kNow) == nullptr);
  CHECK(peers.Choose(kFar, PlanVersion(5), kNow) == nullptr);
  peers.OnPlanVersion(kSlowPeer, PlanVersion(5));
  CHECK(*peers.Choose(kFar, PlanVersion(5), kNow) == kSlowPeer);
}

TEST_CASE("A peer that failed is not chosen, for longer after each failure")
{
  PeerRecords peers = TwoPeers();
  peers.OnFailed(kFastPeer, kNow);
  peers.OnFailed(kFastPeer, kNow);
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow) == kSlowPeer);
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow + milliseconds(310)) ==
        kFastPeer);
  peers.OnFailed(kFastPeer, kNow + milliseconds(310));
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow + milliseconds(800)) ==
        kSlowPeer);
  peers.OnAnswered(kFastPeer);
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow + milliseconds(800)) ==
        kFastPeer);
}

} // namespace verbenachute
