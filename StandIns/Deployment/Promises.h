#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace verbenachute::standins {

/// What a caller asks for.
enum class RequestKind
{
  /// The greatest records over all shards.
  Gathered,
  /// One target; may be repeated.
  Single,
  /// One target; runs once at most.
  Once,
};

/// A target as callers and operators see it from outside.
struct TargetFacts
{
  TargetName mName;
  ServiceName mService;
  FailureDomain mDomain;
};

/// How a request ended for its caller.
struct CallerOutcome
{
  /// 0: the connection ended without a response.
  int mStatus = 0;
  /// Signature of a relayed response; empty if there is none.
  std::string mSignature;
  std::vector<std::string> mPartSignatures;
  std::size_t mMissing = 0;
  std::string mBody;
};

/// Checks what the tier promises, from what callers and targets see. It keeps
/// no clock: the time comes with each event.
class Promises
{
public:
  struct Bounds
  {
    /// A change counts as in force so long after its acknowledgement.
    Duration mInForce = milliseconds(3000);
    /// A domain that was taken out gets nothing after this.
    Duration mDomainOut = milliseconds(5000);
    /// A target that drains gets nothing after this.
    Duration mDraining = milliseconds(3000);
    /// Time without disruption after which bounds hold again.
    Duration mSettling = milliseconds(4000);
    std::size_t mMaximumRecords = 10;
    /// Requests that a cold target gets in one second, sent and arrived in it.
    std::size_t mColdInSecond = 11;
  };

  explicit Promises(const Bounds& aBounds);

  // What operators and the schedule of faults do.

  /// The shards that a gathered request asks from now on.
  void OnPlan(const std::set<ServiceName>& aShards, Instant aNow);
  void OnDomainOut(const FailureDomain& aDomain, Instant aNow);
  void OnDomainIn(const FailureDomain& aDomain);
  void OnDraining(const TargetName& aTarget, Instant aNow);
  void OnTargetGone(const TargetName& aTarget);
  /// The store, or one node if aNode is not empty, is disrupted from aNow on,
  /// or is so no longer.
  void OnDisruption(const NodeName& aNode);
  void OnRelief(const NodeName& aNode, Instant aNow);

  // What callers and targets see.

  void OnSent(const RequestId& aRequest,
              RequestKind aKind,
              const NodeName& aNode,
              Instant aNow);
  void OnArrived(const RequestId& aRequest,
                 const TargetFacts& aTarget,
                 Instant aNow);
  /// The same for a target that is cold.
  void OnArrivedCold(const RequestId& aRequest,
                     const TargetFacts& aTarget,
                     Instant aNow);
  /// The target began to work on the request.
  void OnRan(const RequestId& aRequest, const TargetFacts& aTarget);
  /// The target answered with success.
  void OnSigned(const RequestId& aRequest,
                const TargetFacts& aTarget,
                const std::string& aSignature,
                const std::string& aBody);
  void OnOutcome(const RequestId& aRequest,
                 const CallerOutcome& aOutcome,
                 Instant aNow);
  void OnConnections(const TargetFacts& aTarget,
                     std::size_t aOpen,
                     std::size_t aAllowed);

  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return mViolations;
  }
  [[nodiscard]] std::size_t Requests() const { return mSent; }
  [[nodiscard]] std::size_t Served() const { return mServed; }
  [[nodiscard]] std::size_t Refused() const { return mRefused; }
  [[nodiscard]] std::size_t Partial() const { return mPartial; }

private:
  struct Answer
  {
    ServiceName mService;
    std::string mBody;
  };

  struct Request
  {
    RequestKind mKind = RequestKind::Gathered;
    NodeName mNode;
    Instant mSent;
    std::size_t mRuns = 0;
    bool mPromisedNotRun = false;
    std::map<std::string, Answer> mAnswers;
  };

  struct Plan
  {
    std::set<ServiceName> mShards;
    Instant mAccepted;
  };

  void Violated(const std::string& aWhat, const RequestId& aRequest);
  /// When a change of that moment has to be in force for a request; nothing
  /// while its node or the store is disrupted.
  [[nodiscard]] std::optional<Instant> BoundFor(const Request& aRequest,
                                                Instant aChanged,
                                                Duration aBound) const;
  void CheckGathered(const RequestId& aId,
                     const Request& aRequest,
                     const CallerOutcome& aOutcome);
  void CheckPlan(const RequestId& aId,
                 const Request& aRequest,
                 const std::set<ServiceName>& aParts,
                 std::size_t aMissing);

  Bounds mBounds;
  std::map<RequestId, Request> mRequests;
  std::vector<Plan> mPlans;
  std::map<FailureDomain, Instant> mDomainsOut;
  std::map<TargetName, Instant> mDraining;
  /// When the requests that recently arrived at a cold target were sent.
  std::map<TargetName, std::deque<Instant>> mSentToCold;
  /// Disruptions that last, counted, and ends of the last ones; the empty name
  /// stands for the store.
  std::map<NodeName, int> mDisrupted;
  std::map<NodeName, Instant> mRelieved;
  std::vector<std::string> mViolations;
  std::size_t mSent = 0;
  std::size_t mServed = 0;
  std::size_t mRefused = 0;
  std::size_t mPartial = 0;
};

} // namespace verbenachute::standins
