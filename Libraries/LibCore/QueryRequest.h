#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <optional>
#include <string>

namespace verbenachute {

/// Whether a request can be executed more than once without harm.
enum class Idempotency
{
  Idempotent,
  /// Must be executed at most once, such as an invoice or a booking.
  NonIdempotent,
};

/// A caller's request after parsing and validation.
struct QueryRequest
{
  CallerId mCaller;
  CallerClass mClass;
  ServiceName mService;
  RequestId mRequest;
  Idempotency mIdempotency = Idempotency::Idempotent;
  /// Time until the deadline, counted from the arrival of the request at this
  /// process.
  Duration mTimeLeft{ 0 };
  std::string mQuery;
  /// Largest number of hits in the merged answer.
  std::uint32_t mLimit = 0;
  /// Node incarnation whose ticket the request carries; nothing if there is no
  /// ticket. Required for non-idempotent requests, which run at that
  /// incarnation of that node or not at all.
  std::optional<NodeIdentity> mTicket;
};

} // namespace verbenachute
