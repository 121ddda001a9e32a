#pragma once

#include <LibRouting/Route.h>
#include <LibRouting/Tenant.h>

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace verbenachute {

/// Version of the operators' plan; a larger number is newer.
using PlanVersion = Strong<struct PlanVersionTag, std::uint64_t>;

/// Settings that apply to all targets of one service.
struct ServiceSettings
{
  ServiceName mName;
  std::string mHealthPath;
  /// Connections that one target accepts from all nodes together.
  std::uint32_t mMaximumConnections = 1;
  /// How long a target stays cold after its start.
  Duration mWarmup{ 0 };
  /// Requests per second that a cold target can take, over all nodes; 0 means
  /// no limit.
  double mColdRate = 0;

  friend bool operator==(const ServiceSettings&,
                         const ServiceSettings&) = default;
};

/// Limits on the size of callers' requests and on the time that they may take.
struct CallerLimits
{
  std::size_t mHeaderBytes = 16UL * 1024;
  std::size_t mBodyBytes = 256UL * 1024;
  Duration mHeaderTimeout = seconds(3);
  Duration mIdleTimeout = seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// One version of the routes and services that operators have put in force.
/// Immutable; a query keeps the plan with which it began.
class ServingPlan
{
public:
  struct Content
  {
    PlanVersion mVersion;
    std::vector<Route> mRoutes;
    std::vector<ServiceSettings> mServices;
    CallerLimits mLimits;
    /// Empty if callers do not authenticate.
    std::vector<Tenant> mTenants;
  };

  explicit ServingPlan(Content aContent);

  [[nodiscard]] PlanVersion Version() const { return mContent.mVersion; }
  [[nodiscard]] const CallerLimits& Limits() const { return mContent.mLimits; }
  [[nodiscard]] const std::vector<Route>& Routes() const
  {
    return mContent.mRoutes;
  }
  [[nodiscard]] const std::vector<Tenant>& Tenants() const
  {
    return mContent.mTenants;
  }

  /// Returns the route of the host with the longest prefix of the path; null if
  /// there is none. Case and port of the host and the query of the path are
  /// ignored.
  [[nodiscard]] const Route* FindRoute(std::string_view aHost,
                                       std::string_view aPath) const;
  /// Null if the plan does not name the service.
  [[nodiscard]] const ServiceSettings* FindService(
    const ServiceName& aService) const;
  /// Null if the plan does not name the tenant.
  [[nodiscard]] const Tenant* FindTenant(const TenantName& aTenant) const;
  /// The tenant that has the key; null if there is none.
  [[nodiscard]] const Tenant* FindTenantOfKey(const KeyHash& aKey) const;

private:
  using RoutesByPrefix = std::unordered_map<std::string, std::size_t>;

  Content mContent;
  std::unordered_map<std::string, RoutesByPrefix> mRoutesByHost;
  std::unordered_map<ServiceName, std::size_t> mServices;
  std::unordered_map<TenantName, std::size_t> mTenants;
  /// Each key with the index of its tenant, by the leading bytes of the digest.
  std::unordered_multimap<std::uint64_t, std::pair<KeyHash, std::size_t>> mKeys;
};

using ServingPlanPointer = std::shared_ptr<const ServingPlan>;

} // namespace verbenachute
