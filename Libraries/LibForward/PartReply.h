#pragma once

#include <LibCore/Time.h>
#include <LibHttp/HttpFields.h>

#include <cstdint>
#include <optional>
#include <string>

namespace verbenachute {

/// What a target's response says of the request.
enum class ReplyMeaning
{
  /// A success that the target has signed.
  Answered,
  /// Any other response of a target that may have run the request.
  Failed,
  /// The target states that it has not run the request and will not.
  Declined,
  /// Another target has the address now; not run.
  WrongTarget,
};

/// Load as a target reports it with a response.
struct ReportedLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 1;
};

/// A response of a target, decoded.
struct PartReply
{
  ReplyMeaning mMeaning = ReplyMeaning::Failed;
  int mStatus = 0;
  /// End-to-end fields, for a response that is passed on unchanged.
  HttpFields mFields;
  std::string mBody;
  /// Proof that the target has answered this request; empty if it gave none.
  std::string mSignature;
  std::optional<ReportedLoad> mLoad;
};

/// Why an attempt ended without a response.
enum class AttemptFailure
{
  /// No byte of the request left this node.
  NotSent,
  /// The connection broke after the request was sent; it may have run.
  Lost,
  /// What came back was cut off or no response; it may have run.
  Garbled,
  TimedOut,
};

} // namespace verbenachute
