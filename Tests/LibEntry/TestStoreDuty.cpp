#include <LibEntry/StoreDuty.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

StoreDuty::Facts
LargeFleet(const char* aSelf)
{
  StoreDuty::Facts facts;
  facts.mSelf = NodeName(aSelf);
  facts.mLiving = 83;
  for (int i = 0; i < 8; ++i) {
    facts.mAdvertised.emplace_back().mIdentity.mName =
      NodeName("c" + std::to_string(i));
  }
  facts.mPeersStoreAge = milliseconds(800);
  facts.mRunning = seconds(30);
  return facts;
}

} // namespace

TEST_CASE("In a small fleet every node watches the store")
{
  StoreDuty::Facts facts;
  facts.mLiving = 9;
  facts.mRunning = seconds(30);
  CHECK(StoreDuty::Decide(facts).mSource == FollowSource::Store);
  facts.mRunning = milliseconds(100);
  CHECK(StoreDuty::Decide(facts).mSource == FollowSource::Undecided);
}

TEST_CASE(
  "In a large fleet a few nodes watch the store and the others follow peers")
{
  CHECK(StoreDuty::Decide(LargeFleet("c0")).mSource == FollowSource::Store);
  CHECK(StoreDuty::Decide(LargeFleet("c3")).mSource == FollowSource::Store);
  CHECK(StoreDuty::Decide(LargeFleet("c4")).mSource == FollowSource::Peers);
  CHECK(StoreDuty::Decide(LargeFleet("x")).mSource == FollowSource::Peers);
}

TEST_CASE("A node watches the store itself if no peer has reached it recently")
{
  StoreDuty::Facts facts = LargeFleet("x");
  facts.mPeersStoreAge = milliseconds(2500);
  CHECK(StoreDuty::Decide(facts).mSource == FollowSource::Store);
  facts.mPeersStoreAge.reset();
  CHECK(StoreDuty::Decide(facts).mSource == FollowSource::Store);
}

} // namespace verbenachute
