#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <optional>
#include <string>

namespace verbenachute {

/// Whether running a request twice does harm.
enum class Idempotency
{
  Idempotent,
  /// Runs at most once, such as an invoice or a booking.
  NonIdempotent,
};

/// What a caller asks of a node, after parsing and checking.
struct QueryRequest
{
  CallerId mCaller;
  CallerClass mClass;
  ServiceName mService;
  RequestId mRequest;
  Idempotency mIdempotency = Idempotency::Idempotent;
  /// Time that is left from the arrival of the request at this process.
  Duration mTimeLeft{ 0 };
  std::string mQuery;
  /// Largest number of hits that the caller wants in the merged answer.
  std::uint32_t mLimit = 0;
  /// Life of the node whose ticket the request carries. Required for
  /// non-idempotent requests, which run at that life of that node or not.
  std::optional<NodeIdentity> mTicket;
};

} // namespace verbenachute
