#include <LibRouting/Route.h>

#include <algorithm>
#include <cmath>

namespace verbenachute {

namespace {

// Shares such as 0.9 of 20 are not exact in binary; the tolerance keeps the
// result at 18.
constexpr double kRoundingTolerance = 1e-9;

} // namespace

std::size_t
ShardSet::MinimumShards() const
{
  const double minimum =
    std::ceil(mMinimumCoverage * static_cast<double>(mShards.size()) -
              kRoundingTolerance);
  return std::max<std::size_t>(
    1, static_cast<std::size_t>(std::max(minimum, 0.0)));
}

} // namespace verbenachute
