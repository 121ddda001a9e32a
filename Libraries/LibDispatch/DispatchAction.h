#pragma once

#include <LibCore/SubAnswer.h>
#include <LibCore/SubQuery.h>
#include <LibCore/TargetState.h>
#include <LibCore/Time.h>
#include <LibDispatch/DispatchId.h>
#include <LibDispatch/PoisonReport.h>
#include <LibLease/Bucket.h>

#include <variant>
#include <vector>

namespace verbenachute {

/// Send a sub-query to its target over an idle connection or a new one.
struct SendToTarget
{
  DispatchId mDispatch;
  SocketAddress mAddress;
  SubQuery mSubQuery;
  /// The target must have ended the work at this time. It goes to the target
  /// as an absolute time, so that bytes that leave or arrive late run nothing;
  /// nothing may be sent at all once it has passed.
  Instant mRunUntil;
};

/// Ask the target to stop the work. The outcome goes to OnCancelOutcome.
struct CancelAtTarget
{
  DispatchId mDispatch;
  TargetName mTarget;
  SocketAddress mAddress;
};

/// Close the connection of an exchange; its reply is of no use any more. No
/// event follows from it.
struct CloseExchange
{
  DispatchId mDispatch;
};

/// Tell the node that sent the sub-query what became of it.
struct AnswerSubQuery
{
  NodeIdentity mOrigin;
  SubAnswer mAnswer;
};

/// Ask a target which versions it holds. Exactly one of OnProbeReply and
/// OnProbeFailed follows, the latter at the timeout at the latest.
struct ProbeTarget
{
  TargetName mTarget;
  SocketAddress mAddress;
  Duration mTimeout{ 0 };
};

/// Tell all nodes about a target.
struct PublishTargetState
{
  TargetState mState;
};

/// Tell all nodes about a fingerprint, at once.
struct ReportPoison
{
  PoisonReport mReport;
};

/// This node holds the target no longer or must leave it alone.
struct CloseIdleConnections
{
  TargetName mTarget;
  SocketAddress mAddress;
};

/// No work is left at the targets of a bucket that is being handed over; goes
/// to LeaseHolder::OnDrained.
struct BucketDrained
{
  Bucket mBucket;
};

/// DispatchGate::OnTimer is to be called at this time.
struct WakeGateAt
{
  Instant mAt;
};

using DispatchAction = std::variant<SendToTarget,
                                    CancelAtTarget,
                                    CloseExchange,
                                    AnswerSubQuery,
                                    ProbeTarget,
                                    PublishTargetState,
                                    ReportPoison,
                                    CloseIdleConnections,
                                    BucketDrained,
                                    WakeGateAt>;
using DispatchActions = std::vector<DispatchAction>;

} // namespace verbenachute
