#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibHttp/HttpFields.h>

#include <memory>
#include <optional>
#include <string>

namespace verbenachute {

/// A request of a caller, as it is passed on: method, target, end-to-end
/// fields and body stay as the caller sent them.
struct CallerRequest
{
  RequestId mId;
  std::string mMethod;
  /// Path and query.
  std::string mTarget;
  std::string mHost;
  /// By whom selectors tell callers apart.
  CallerId mCaller;
  HttpFields mFields;
  std::string mBody;
  /// How long the caller waits from the arrival; nothing if it did not say.
  std::optional<Duration> mPatience;
  Instant mArrived;
  /// Time that the caller spent on making the connection before it sent this.
  Duration mConnecting{ 0 };
};

using CallerRequestPointer = std::shared_ptr<const CallerRequest>;

} // namespace verbenachute
