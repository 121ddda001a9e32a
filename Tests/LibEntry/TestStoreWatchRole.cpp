#include <LibEntry/StoreWatchRole.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

StoreWatchRole::Inputs
LargeFleet(const char* aSelf)
{
  StoreWatchRole::Inputs inputs;
  inputs.mSelf = NodeName(aSelf);
  inputs.mAliveCount = 83;
  for (int i = 0; i < 8; ++i) {
    inputs.mAdvertised.emplace_back().mIdentity.mName =
      NodeName("c" + std::to_string(i));
  }
  inputs.mPeersStoreAge = milliseconds(800);
  inputs.mRunning = seconds(30);
  return inputs;
}

} // namespace

TEST_CASE("In a small fleet every node watches the store")
{
  StoreWatchRole::Inputs inputs;
  inputs.mAliveCount = 9;
  inputs.mRunning = seconds(30);
  CHECK(StoreWatchRole::Choose(inputs).mSource == UpdateSource::Store);
  inputs.mRunning = milliseconds(100);
  CHECK(StoreWatchRole::Choose(inputs).mSource == UpdateSource::Undecided);
}

TEST_CASE(
  "In a large fleet a few nodes watch the store and the others follow peers")
{
  CHECK(StoreWatchRole::Choose(LargeFleet("c0")).mSource ==
        UpdateSource::Store);
  CHECK(StoreWatchRole::Choose(LargeFleet("c3")).mSource ==
        UpdateSource::Store);
  CHECK(StoreWatchRole::Choose(LargeFleet("c4")).mSource ==
        UpdateSource::Peers);
  CHECK(StoreWatchRole::Choose(LargeFleet("x")).mSource == UpdateSource::Peers);
}

TEST_CASE("A node watches the store itself if no peer has reached it recently")
{
  StoreWatchRole::Inputs inputs = LargeFleet("x");
  inputs.mPeersStoreAge = milliseconds(2500);
  CHECK(StoreWatchRole::Choose(inputs).mSource == UpdateSource::Store);
  inputs.mPeersStoreAge.reset();
  CHECK(StoreWatchRole::Choose(inputs).mSource == UpdateSource::Store);
}

} // namespace verbenachute
