#pragma once

#include <LibRouting/Route.h>

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace verbenachute {

/// Version of the operators' plan; a larger number is newer.
using PlanVersion = Strong<struct PlanVersionTag, std::uint64_t>;

/// What holds for all targets of one service.
struct ServiceTerms
{
  ServiceName mName;
  std::string mHealthPath;
  /// Connections that one target accepts from all nodes together.
  std::uint32_t mMaximumConnections = 1;
  /// How long a target stays cold after its start.
  Duration mWarmup{ 0 };
  /// Requests a second that a cold target bears, over all nodes; 0: no limit.
  double mColdRate = 0;

  friend bool operator==(const ServiceTerms&, const ServiceTerms&) = default;
};

/// What callers may send and how long they may take over it.
struct CallerLimits
{
  std::size_t mHeaderBytes = 16UL * 1024;
  std::size_t mBodyBytes = 256UL * 1024;
  Duration mHeaderTime = seconds(3);
  Duration mIdleTime = seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// One version of the routes and services that operators have put in force.
/// It never changes; a query keeps the plan with which it began.
class ServingPlan
{
public:
  struct Content
  {
    PlanVersion mVersion;
    std::vector<Route> mRoutes;
    std::vector<ServiceTerms> mServices;
    CallerLimits mLimits;
  };

  explicit ServingPlan(Content aContent);

  [[nodiscard]] PlanVersion Version() const { return mContent.mVersion; }
  [[nodiscard]] const CallerLimits& Limits() const { return mContent.mLimits; }
  [[nodiscard]] const std::vector<Route>& Routes() const
  {
    return mContent.mRoutes;
  }

  /// The route of the host whose prefix is the longest that begins the path;
  /// null if there is none. Case and port of the host do not count, nor does
  /// the query of the path.
  [[nodiscard]] const Route* FindRoute(std::string_view aHost,
                                       std::string_view aPath) const;
  /// Null if the plan does not name the service.
  [[nodiscard]] const ServiceTerms* FindService(
    const ServiceName& aService) const;

private:
  using PrefixTable = std::unordered_map<std::string, std::size_t>;

  Content mContent;
  std::unordered_map<std::string, PrefixTable> mHosts;
  std::unordered_map<ServiceName, std::size_t> mServices;
};

using ServingPlanPointer = std::shared_ptr<const ServingPlan>;

} // namespace verbenachute
