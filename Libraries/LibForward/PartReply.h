#pragma once

#include <LibCore/MemoryBudget.h>
#include <LibCore/Time.h>
#include <LibHttp/HttpFields.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace verbenachute {

/// Classification of a target's response.
enum class ReplyKind
{
  /// A successful response with the target's signature.
  Answered,
  /// Any other response; the target may have run the request.
  Failed,
  /// The target states that it has not run the request and will not.
  Declined,
  /// Another target now has the address; the request was not run.
  WrongTarget,
};

/// Load that a target reports with a response.
struct ReportedLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 1;
  /// How long work currently takes at the target, 100 being as usual; empty if
  /// it does not report this.
  std::optional<std::uint32_t> mSlowdownPercent;
};

/// The decoded response of a target.
struct PartReply
{
  ReplyKind mKind = ReplyKind::Failed;
  int mStatus = 0;
  /// Whether callers read the status as a promise that the request has not run
  /// and never will, whatever the target meant by it.
  bool mReadsAsNotRun = false;
  /// End-to-end fields, for a response that is forwarded unchanged.
  HttpFields mFields;
  std::string mBody;
  /// Proof that the target answered this request; empty if the response had
  /// none.
  std::string mSignature;
  /// Empty if the target reported no load.
  std::optional<ReportedLoad> mLoad;
  /// Requests per second that the target takes from all nodes together, as long
  /// as its responses say so; empty if it named no rate.
  std::optional<double> mNamedRate;
  /// Whether the target named a rate that could not be read.
  bool mIsNamedRateUnreadable = false;
  /// Whether the target says that it is about to end.
  bool mIsLeaving = false;
  /// For how long the target wants no request from this node; empty if it did
  /// not say.
  std::optional<Duration> mPause;
  /// Names of header fields that could not be read, separated by spaces.
  std::string mUnreadableFields;
  /// For the memory of the body, shared by all copies of the reply; null if it
  /// is not charged.
  std::shared_ptr<MemoryBudget::Charge> mCharge;
};

/// Why an attempt ended without a response.
enum class AttemptFailure
{
  /// No byte of the request was sent.
  NotSent,
  /// The connection was lost after the request was sent; it may have run.
  ConnectionLost,
  /// The connection was lost within the response; the request may have run.
  ResponseTruncated,
  /// The response was malformed; the request may have run.
  MalformedResponse,
  TimedOut,
};

} // namespace verbenachute
