#include <LibForward/IdleConnections.h>

#include <algorithm>

namespace verbenachute {

namespace {

constexpr Duration kKeepAliveMargin = milliseconds(700);
constexpr Duration kMaxIdleTime = seconds(30);
// A connection other than the most recently used one is closed after this idle
// time.
constexpr Duration kSpareIdleTime = milliseconds(700);

} // namespace

bool
IsReusable(const IdleConnection& aConnection)
{
  const Duration keepAlive =
    std::min(aConnection.mKeepAliveTimeout, kMaxIdleTime);
  return aConnection.mIdleTime <
         keepAlive - std::min(kKeepAliveMargin, keepAlive / 3);
}

std::vector<std::size_t>
SurplusConnections(const std::vector<IdleConnection>& aIdle)
{
  std::vector<std::size_t> surplus;
  const auto latest = std::min_element(
    aIdle.begin(), aIdle.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.mIdleTime < aOther.mIdleTime;
    });
  for (auto connection = aIdle.begin(); connection != aIdle.end();
       ++connection) {
    const bool spare =
      connection != latest && connection->mIdleTime >= kSpareIdleTime;
    if (spare || !IsReusable(*connection)) {
      surplus.push_back(static_cast<std::size_t>(connection - aIdle.begin()));
    }
  }
  return surplus;
}

} // namespace verbenachute
