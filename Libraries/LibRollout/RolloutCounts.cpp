#include <LibRollout/RolloutCounts.h>

namespace verbenachute {

namespace {

// A report with this many routes fits into one datagram.
constexpr std::size_t kMaximumRoutes = 16;

} // namespace

void
VersionCounts::Add(const VersionCounts& aOther)
{
  mResponses += aOther.mResponses;
  mFailed += aOther.mFailed;
  mLatencies.Add(aOther.mLatencies);
}

void
RolloutCounts::Add(const RolloutCounts& aOther)
{
  mSent += aOther.mSent;
  mSentNew += aOther.mSentNew;
  for (const auto& [route, versions] : aOther.mRoutes) {
    ByVersion& own = Of(route);
    for (std::size_t i = 0; i < own.size(); ++i) {
      own[i].Add(versions[i]);
    }
  }
}

RolloutCounts::ByVersion&
RolloutCounts::Of(const std::string& aRoute)
{
  const bool isKnown = mRoutes.contains(aRoute);
  return mRoutes[isKnown || mRoutes.size() < kMaximumRoutes ? aRoute : ""];
}

} // namespace verbenachute
