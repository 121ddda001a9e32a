#include <LibForward/ConnectionUpkeep.h>

#include <algorithm>

namespace verbenachute {

namespace {

constexpr Duration kKeepMargin = milliseconds(700);
constexpr Duration kLongestIdle = seconds(30);
// A second connection that was not needed for this long is closed.
constexpr Duration kSpareIdle = milliseconds(700);

} // namespace

bool
IsFitForUse(const IdleConnection& aConnection)
{
  const Duration kept = std::min(aConnection.mKept, kLongestIdle);
  return aConnection.mIdle < kept - std::min(kKeepMargin, kept / 3);
}

std::vector<std::size_t>
SurplusConnections(const std::vector<IdleConnection>& aIdle)
{
  std::vector<std::size_t> surplus;
  const auto latest = std::min_element(
    aIdle.begin(), aIdle.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.mIdle < aOther.mIdle;
    });
  for (auto connection = aIdle.begin(); connection != aIdle.end();
       ++connection) {
    const bool spare = connection != latest && connection->mIdle >= kSpareIdle;
    if (spare || !IsFitForUse(*connection)) {
      surplus.push_back(static_cast<std::size_t>(connection - aIdle.begin()));
    }
  }
  return surplus;
}

} // namespace verbenachute
