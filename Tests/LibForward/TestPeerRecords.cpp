#include <LibForward/PeerRecords.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

const FailureDomain kFar("far");
const NodeName kWeak("weak");
const NodeName kStrong("strong");
constexpr Instant kNow(seconds(50));

PeerRecords
Two()
{
  PeerRecords peers;
  peers.SetNodes({ PeerNode{ kWeak, kFar, 100, PlanVersion(4) },
                   PeerNode{ kStrong, kFar, 400, PlanVersion(4) } });
  return peers;
}

} // namespace

TEST_CASE("The least busy peer for its power is chosen")
{
  PeerRecords peers = Two();
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow) == kStrong);
  for (int i = 0; i < 4; ++i) {
    peers.OnSent(kStrong);
  }
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow) == kWeak);
  peers.OnEnded(kStrong);
  peers.OnEnded(kStrong);
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow) == kStrong);
}

TEST_CASE("A peer without the plan or in another domain is not asked")
{
  PeerRecords peers = Two();
  CHECK(peers.Choose(FailureDomain("other"), PlanVersion(4), kNow) == nullptr);
  CHECK(peers.Choose(kFar, PlanVersion(5), kNow) == nullptr);
  peers.OnPlan(kWeak, PlanVersion(5));
  CHECK(*peers.Choose(kFar, PlanVersion(5), kNow) == kWeak);
}

TEST_CASE("A peer that failed is passed over, longer each time")
{
  PeerRecords peers = Two();
  peers.OnFailed(kStrong, kNow);
  peers.OnFailed(kStrong, kNow);
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow) == kWeak);
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow + milliseconds(310)) ==
        kStrong);
  peers.OnFailed(kStrong, kNow + milliseconds(310));
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow + milliseconds(800)) == kWeak);
  peers.OnAnswered(kStrong);
  CHECK(*peers.Choose(kFar, PlanVersion(4), kNow + milliseconds(800)) ==
        kStrong);
}

} // namespace verbenachute
