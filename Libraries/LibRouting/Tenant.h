#pragma once

#include <LibCore/Strong.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// Name of a customer whose callers authenticate with API keys.
using TenantName = Strong<struct TenantNameTag, std::string>;
/// SHA-256 digest of an API key. Keys themselves are not kept.
using KeyHash = Strong<struct KeyHashTag, std::array<std::uint8_t, 32>>;

/// Number of requests that a tenant may send, over all nodes together.
struct Quota
{
  /// Requests per second; 0 means no limit.
  double mRate = 0;
  /// Requests that may exceed the rate at one time.
  double mBurst = 0;

  [[nodiscard]] bool IsLimited() const { return mRate > 0; }

  friend bool operator==(const Quota&, const Quota&) = default;
};

/// A tenant as the plan describes it.
struct Tenant
{
  TenantName mName;
  std::vector<KeyHash> mKeys;
  /// Rank that replaces the rank of the route; empty if the route's rank
  /// applies.
  std::optional<std::uint32_t> mPriority;
  Quota mQuota;

  friend bool operator==(const Tenant&, const Tenant&) = default;
};

} // namespace verbenachute
