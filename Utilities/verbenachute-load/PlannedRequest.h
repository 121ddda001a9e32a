#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/QueryRequest.h>
#include <LibCore/Time.h>

#include <string>

namespace verbenachute::load {

/// Whether a request goes to one node or to two at once.
enum class Sending
{
  Single,
  Duplicate,
};

/// One request of the load, as its caller means it.
struct PlannedRequest
{
  RequestId mRequest;
  CallerId mCaller;
  CallerClass mClass;
  ServiceName mService;
  Idempotency mIdempotency = Idempotency::Idempotent;
  Sending mSending = Sending::Single;
  std::string mQuery;
  std::uint32_t mLimit = 0;
  Duration mDeadline{ 0 };
};

} // namespace verbenachute::load
