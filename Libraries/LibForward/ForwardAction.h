#pragma once

#include <LibCore/Identifiers.h>
#include <LibForward/CallerRequest.h>
#include <LibForward/Delegation.h>
#include <LibForward/PartReply.h>
#include <LibForward/Refusal.h>
#include <LibRouting/ServingPlan.h>

#include <string>
#include <variant>
#include <vector>

namespace verbenachute {

/// Number of a request within one process; never used twice.
using RequestNumber = Strong<struct RequestNumberTag, std::uint64_t>;

/// Why a request that was sent got no answer.
enum class FailureReason
{
  /// The attempts failed and no further one is allowed.
  AttemptsFailed,
  DeadlinePassed,
};

/// The name as it stands in logs, such as "deadline_passed".
[[nodiscard]] const char*
FailureReasonName(FailureReason aReason);

/// A response of a target that is passed on unchanged.
struct RelayedOutcome
{
  PartReply mReply;
};

/// The merged answer of a query over many shards.
struct GatheredOutcome
{
  /// The greatest records, falling.
  std::string mRecords;
  std::vector<std::string> mSignatures;
  std::size_t mMissing = 0;
};

/// Not run, and never will be.
struct RefusedOutcome
{
  RefusalReason mReason = RefusalReason::Overloaded;
  Duration mRetryAfter{ 0 };
};

/// It may have run.
struct FailedOutcome
{
  FailureReason mReason = FailureReason::AttemptsFailed;
};

/// The plan has no route for the request.
struct NoRouteOutcome
{};

using ForwardOutcome = std::variant<RelayedOutcome,
                                    GatheredOutcome,
                                    RefusedOutcome,
                                    FailedOutcome,
                                    NoRouteOutcome>;

/// What a request cost and what decided its outcome, for logs and metrics.
struct ForwardSummary
{
  std::string mRoute;
  PlanVersion mPlan;
  Duration mElapsed{ 0 };
  Duration mObjective{ 0 };
  std::size_t mParts = 0;
  std::size_t mPartsDone = 0;
  std::uint32_t mAttempts = 0;
  std::uint32_t mHedges = 0;
  std::uint32_t mRetries = 0;
  /// Hedges and retries that the budget did not pay for.
  std::uint32_t mUnpaid = 0;
  /// Peers that were asked to gather some of the parts, separated by spaces.
  std::string mPeers;
  /// Parts that peers were asked for.
  std::uint32_t mDelegated = 0;
  /// Services of the parts that are missing, separated by spaces.
  std::string mMissing;

  void AddMissing(const ServiceName& aService);
};

/// Send a request to a target.
struct SendAction
{
  AttemptId mAttempt;
  TargetName mTarget;
  SocketAddress mAddress;
  CallerRequestPointer mRequest;
  /// What is left of the caller's time.
  Duration mTimeLeft{ 0 };
  /// How many connections to the target this node may have.
  std::uint32_t mConnections = 1;
};

/// Close the connection on which an attempt runs; its result does not matter
/// any more.
struct CancelAction
{
  AttemptId mAttempt;
};

/// Answer a caller.
struct AnswerAction
{
  RequestNumber mNumber;
  ForwardOutcome mOutcome;
  ForwardSummary mSummary;
};

/// Ask a peer to gather some shards.
struct DelegateAction
{
  DelegationNumber mDelegation;
  NodeName mPeer;
  DelegatedOrder mOrder;
};

/// Tell the peer that a delegation needs nothing any more. No answer to it is
/// expected.
struct RecallAction
{
  DelegationNumber mDelegation;
  RecallReason mReason = RecallReason::Settled;
};

/// Tell the node that has asked.
struct ReportAction
{
  RequestNumber mNumber;
  DelegationAnswer mAnswer;
  /// Whether this ends the delegation.
  bool mLast = false;
};

using ForwardAction = std::variant<SendAction,
                                   CancelAction,
                                   AnswerAction,
                                   DelegateAction,
                                   RecallAction,
                                   ReportAction>;
using ForwardActions = std::vector<ForwardAction>;

} // namespace verbenachute
