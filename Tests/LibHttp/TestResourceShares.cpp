#include <LibHttp/ResourceShares.h>

#include <doctest/doctest.h>

namespace verbenachute {

// Guards against limits that a single legal request or response exceeds on the
// smallest machine.
TEST_CASE("The smallest machine takes the largest legal message")
{
  const ResourceShares shares = DivideResources(112UL << 20U, 2'870);
  CHECK(shares.mClientBytes == 42UL << 20U);
  CHECK(shares.mTargetBytes == 14UL << 20U);
  CHECK(shares.mCallerConnections == 1'558);
  CHECK(shares.mDirectoryConnections == 222);
}

// Guards against a listener or a pool that no share bounds.
TEST_CASE("All connections together leave the descriptors of files")
{
  constexpr std::size_t kFileDescriptors = 200;
  constexpr std::size_t kLimits[] = { 800, 2'870, 8'192, 1'048'576 };
  for (const std::size_t descriptors : kLimits) {
    CAPTURE(descriptors);
    const ResourceShares shares = DivideResources(512UL << 20U, descriptors);
    const std::size_t all = shares.mCallerConnections +
                            shares.mDirectoryConnections +
                            shares.mTargetConnections + shares.mGatherLinks +
                            shares.mPeerConnections + shares.mReadyConnections +
                            shares.mOperatorConnections;
    CHECK(all <= descriptors - kFileDescriptors);
  }
}

// Guards against idle connections whose charges leave no room for requests, on
// a machine with little memory and many descriptors.
TEST_CASE("Idle connections take a part of the account only")
{
  const ResourceShares shares = DivideResources(112UL << 20U, 1'048'576);
  const std::size_t account = shares.mClientBytes + shares.mTargetBytes;
  const std::size_t clients =
    shares.mCallerConnections + shares.mDirectoryConnections +
    shares.mPeerConnections + shares.mReadyConnections +
    shares.mOperatorConnections;
  CHECK(clients * kConnectionBytes <= account / 4);
  // The sites' machines have fewer descriptors than that.
  CHECK(shares.mCallerConnections >
        DivideResources(112UL << 20U, 2'870).mCallerConnections);
}

} // namespace verbenachute
