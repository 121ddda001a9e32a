#pragma once

#include <LibCore/Strong.h>
#include <LibCore/Time.h>
#include <LibRouting/Tenant.h>

#include <cstdint>
#include <variant>

namespace verbenachute {

/// Number of a request for a token, unique within one incarnation of a node.
using QuotaRequestNumber = Strong<struct QuotaRequestNumberTag, std::uint64_t>;

/// From which of its buckets a node is asked to grant.
enum class QuotaSource
{
  /// The bucket of the tenant's owner.
  Owner,
  /// The smaller one of its deputy, for requests that the owner does not
  /// answer.
  Deputy,
};

/// Requests a token of a tenant.
struct QuotaRequest
{
  QuotaRequestNumber mNumber;
  TenantName mTenant;
  QuotaSource mSource = QuotaSource::Owner;

  friend bool operator==(const QuotaRequest&, const QuotaRequest&) = default;
};

enum class QuotaDecision
{
  Granted,
  /// The tenant has used up its quota.
  Denied,
  /// The node does not know what the tenant has used, or sees only a part of
  /// the nodes.
  Unknown,
};

/// Answers a QuotaRequest.
struct QuotaReply
{
  QuotaRequestNumber mNumber;
  QuotaDecision mDecision = QuotaDecision::Unknown;
  /// When a token will probably be there; 0 if one is granted.
  Duration mRetryAfter{ 0 };

  friend bool operator==(const QuotaReply&, const QuotaReply&) = default;
};

using QuotaMessage = std::variant<QuotaRequest, QuotaReply>;

} // namespace verbenachute
