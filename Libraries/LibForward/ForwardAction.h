#pragma once

#include <LibCore/Identifiers.h>
#include <LibForward/AttemptBudget.h>
#include <LibForward/CallerRequest.h>
#include <LibForward/Delegation.h>
#include <LibForward/PartReply.h>
#include <LibForward/Refusal.h>
#include <LibRouting/ServingPlan.h>

#include <string>
#include <variant>
#include <vector>

namespace verbenachute {

/// Number of a request, unique within the process and never reused.
using RequestNumber = Strong<struct RequestNumberTag, std::uint64_t>;

/// Why a request that was sent to a target got no answer.
enum class FailureReason
{
  /// The attempts failed and no further one is allowed.
  AttemptsFailed,
  DeadlinePassed,
};

/// The name that is used in logs, such as "deadline_passed".
[[nodiscard]] const char*
FailureReasonName(FailureReason aReason);

/// A response of a target that is forwarded unchanged.
struct RelayedOutcome
{
  PartReply mReply;
};

/// The merged answer of a query over many shards.
struct GatheredOutcome
{
  /// The greatest records, in descending order.
  std::string mRecords;
  std::vector<std::string> mSignatures;
  /// Number of shards without an answer.
  std::size_t mMissingParts = 0;
};

/// The request has not run and will not.
struct RefusedOutcome
{
  RefusalReason mReason = RefusalReason::Overloaded;
  Duration mRetryAfter{ 0 };
};

/// The request may have run.
struct FailedOutcome
{
  FailureReason mReason = FailureReason::AttemptsFailed;
};

/// The plan has no route for the request.
struct NoRouteOutcome
{};

/// The request has no valid API key.
struct NotAuthenticatedOutcome
{};

using ForwardOutcome = std::variant<RelayedOutcome,
                                    GatheredOutcome,
                                    RefusedOutcome,
                                    FailedOutcome,
                                    NoRouteOutcome,
                                    NotAuthenticatedOutcome>;

/// Cost of a request and what determined its outcome, for logs and metrics.
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
  /// Hedges and retries that were not sent because the budget was exhausted.
  std::uint32_t mOverBudget = 0;
  /// Peers to which parts were delegated, separated by spaces.
  std::string mPeerNames;
  /// Number of parts that were delegated to peers.
  std::uint32_t mDelegatedParts = 0;
  /// Services of the parts without an answer, separated by spaces.
  std::string mMissingServices;
  /// Identifies equal requests, as in the events of poisonous ones.
  Fingerprint mFingerprint;

  void AddMissing(const ServiceName& aService);
};

/// Sends a request to a target.
struct SendAction
{
  AttemptId mAttempt;
  TargetName mTarget;
  SocketAddress mAddress;
  CallerRequestPointer mRequest;
  /// Time until the deadline of the request.
  Duration mTimeLeft{ 0 };
  /// Maximum number of connections from this node to the target.
  std::uint32_t mMaximumConnections = 1;
  AttemptPurpose mPurpose = AttemptPurpose::First;
  /// Whether the target is in another failure domain than this node.
  bool mCrossesDomains = false;
};

/// Closes the connection of an attempt whose result is not needed any more.
struct CancelAction
{
  AttemptId mAttempt;
};

/// Answers a caller.
struct AnswerAction
{
  RequestNumber mNumber;
  ForwardOutcome mOutcome;
  ForwardSummary mSummary;
};

/// Delegates shards to a peer.
struct DelegateAction
{
  DelegationNumber mDelegation;
  NodeName mPeer;
  DelegationRequest mDelegationRequest;
};

/// Ends a delegation at the peer. The peer sends no reply.
struct CancelDelegationAction
{
  DelegationNumber mDelegation;
  CancelReason mReason = CancelReason::Completed;
};

/// Reports to the delegating node.
struct ReportAction
{
  RequestNumber mNumber;
  DelegationResponse mAnswer;
  /// Whether no further report of the delegation follows.
  bool mIsFinal = false;
};

using ForwardAction = std::variant<SendAction,
                                   CancelAction,
                                   AnswerAction,
                                   DelegateAction,
                                   CancelDelegationAction,
                                   ReportAction>;
using ForwardActions = std::vector<ForwardAction>;

} // namespace verbenachute
