#pragma once

#include "OnceService.h"
#include "QueryService.h"
#include "ServingMode.h"

#include <LibHttp/HttpServer.h>

#include <functional>
#include <set>
#include <vector>

namespace verbenachute {

/// The HTTP interface for callers, as docs/INTERFACE.md describes it.
class CallerPort
{
public:
  struct Dependencies
  {
    EventLoop& mLoop;
    QueryService& mQueries;
    OnceService& mOnce;
    MembershipService& mMembership;
    AddressAnswerer& mAddresses;
    MetricsRegistry& mMetrics;
    Logger& mLogger;
    std::function<ServingMode()> mMode;
  };

  /// Fails with step Settings and code Unavailable if the address can not be
  /// bound.
  [[nodiscard]] static Result<std::unique_ptr<CallerPort>> Create(
    const SocketAddress& aAddress,
    Dependencies aDependencies);

  /// Ids of the queries that were received and not yet answered. An id occurs
  /// once for each of its queries.
  [[nodiscard]] std::vector<RequestId> InFlightCalls() const;

private:
  using Exchange = std::shared_ptr<HttpExchange>;
  using Handler = void (CallerPort::*)(const Exchange&);

  struct Route
  {
    const char* mPath;
    HttpMethod mMethod;
    Handler mHandler;
  };

  static const Route kRoutes[];

  explicit CallerPort(Dependencies aDependencies);
  void Handle(const Exchange& aExchange);
  void HandleAddresses(const Exchange& aExchange);
  void HandleQuery(const Exchange& aExchange);
  void HandleMetrics(const Exchange& aExchange);
  void HandleHealth(const Exchange& aExchange);
  void RunQuery(const Exchange& aExchange, const QueryRequest& aRequest);
  void Finish(const Exchange& aExchange,
              const QueryRequest& aRequest,
              Instant aArrival,
              const QueryOutcome& aOutcome);
  void Refuse(const Exchange& aExchange,
              const RequestId& aRequest,
              const Error& aError);

  Dependencies mDependencies;
  std::unique_ptr<HttpServer> mServer;
  std::multiset<RequestId> mInFlightCalls;
};

} // namespace verbenachute
