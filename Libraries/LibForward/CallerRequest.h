#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/MemoryBudget.h>
#include <LibCore/Time.h>
#include <LibHttp/HttpFields.h>
#include <LibHttp/HttpText.h>
#include <LibRouting/Tenant.h>

#include <memory>
#include <optional>
#include <string>

namespace verbenachute {

/// A request of a caller in the form in which it is forwarded. Method, target,
/// end-to-end fields and body are unchanged.
struct CallerRequest
{
  RequestId mId;
  std::string mMethod;
  /// Path and query.
  std::string mTarget;
  std::string mHost;
  /// Identity that the operators' selectors match.
  CallerId mCaller;
  HttpFields mFields;
  std::string mBody;
  /// How long the caller waits, counted from the arrival; empty if the caller
  /// did not state it.
  std::optional<Duration> mTimeLimit;
  Instant mArrivalTime;
  /// Time that the caller spent on establishing the connection before it sent
  /// the request.
  Duration mConnectTime{ 0 };
  /// The authenticated tenant; empty on public routes and if the plan has no
  /// tenants.
  TenantName mTenant;
  /// Rank of the tenant, which replaces that of the route; empty if it has
  /// none.
  std::optional<std::uint32_t> mTenantPriority;
  /// The part of the serialized head that is the same for all targets; null
  /// until the request is sent for the first time.
  mutable SharedText mSharedHead;
};

using CallerRequestPointer = std::shared_ptr<const CallerRequest>;

/// Memory that the head and the body of a request take, in bytes.
[[nodiscard]] std::size_t
MemoryOf(const CallerRequest& aRequest);

/// A pointer to the same request that keeps the charge until nobody refers to
/// the request or its body any more.
[[nodiscard]] CallerRequestPointer
WithCharge(CallerRequestPointer aRequest, MemoryBudget::Charge aCharge);

} // namespace verbenachute
