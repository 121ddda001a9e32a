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

} // namespace verbenachute
