#pragma once

#include <LibForward/DomainReachability.h>
#include <LibForward/ForwardAction.h>
#include <LibForward/ForwardSettings.h>
#include <LibForward/LoadAdmission.h>
#include <LibForward/PeerRecords.h>
#include <LibForward/PoisonDetector.h>
#include <LibForward/RouteStatistics.h>
#include <LibForward/TargetRecords.h>
#include <LibForward/VersionPolicy.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace verbenachute {

/// Chooses the targets of each request, decides on hedges, retries and
/// delegations, and determines the answer to the caller. It does no I/O: it is
/// driven by events and the current time, and returns the actions to perform.
class ForwardEngine
{
public:
  /// Whether the operators' rules let a target take new work of a caller.
  using AdmissionFilter =
    std::function<bool(const ListedTarget&, const CallerId&)>;

  /// Whether bytes of an attempt may have left this node. If not, none leave
  /// after its CancelAction.
  using DepartureCheck = std::function<bool(AttemptId)>;

  explicit ForwardEngine(const ForwardSettings& aSettings);

  /// Ignores a plan that is not newer than the current one.
  void SetPlan(ServingPlanPointer aPlan);
  /// Null until the first plan is set.
  [[nodiscard]] const ServingPlanPointer& Plan() const { return mPlan; }
  void SetBudgetLimits(const AttemptBudgetLimits& aLimits);
  void SetLoadAdmission(LoadAdmissionMode aMode) { mLoad.SetMode(aMode); }
  void SetAdmissionFilter(AdmissionFilter aFilter);
  /// Selects the software versions of targets; null if all may be used. It has
  /// to live longer than the engine uses it.
  void SetVersionPolicy(VersionPolicy* aPolicy) { mVersionPolicy = aPolicy; }
  /// Without a check, every attempt counts as one that may have left.
  void SetDepartureCheck(DepartureCheck aCheck);
  /// aServingNodes are the nodes to which callers are or recently were
  /// directed, aSelf is this node. The serving nodes share the connections, the
  /// cold-start limits and the extra attempts. A node that is not among them
  /// gets no share: it uses one connection per target and sends no hedges or
  /// retries.
  void SetNodes(std::vector<NodeName> aServingNodes, const NodeName& aSelf);
  /// The process ends at aExit: every request is answered before. From then on
  /// a request that must not run twice and might not end in time is refused as
  /// not run.
  [[nodiscard]] ForwardActions SetExit(Instant aExit, Instant aNow);
  /// The peers to which this node may delegate shards.
  [[nodiscard]] PeerRecords& Peers() { return mPeers; }
  [[nodiscard]] TargetRecords& Targets() { return mTargets; }
  [[nodiscard]] const TargetRecords& Targets() const { return mTargets; }

  /// Starts a request. The answer may be among the returned actions.
  [[nodiscard]] ForwardActions Submit(RequestNumber aNumber,
                                      CallerRequestPointer aRequest,
                                      Instant aNow);
  [[nodiscard]] ForwardActions OnReply(AttemptId aAttempt,
                                       PartReply aReply,
                                       Instant aNow);
  [[nodiscard]] ForwardActions OnFailure(AttemptId aAttempt,
                                         AttemptFailure aFailure,
                                         Instant aNow);
  [[nodiscard]] ForwardActions OnCallerDisconnected(RequestNumber aNumber,
                                                    Instant aNow);

  /// Starts a delegation of a peer. Reports are among the actions of this and
  /// later calls.
  [[nodiscard]] ForwardActions SubmitDelegation(
    RequestNumber aNumber,
    const DelegationRequest& aRequest,
    Instant aNow);
  /// The delegating node has ended its delegation.
  [[nodiscard]] ForwardActions OnDelegationCancelled(RequestNumber aNumber,
                                                     CancelReason aReason,
                                                     Instant aNow);
  /// A peer has reported on a delegation of this node or refused it.
  [[nodiscard]] ForwardActions OnDelegationResponse(
    DelegationNumber aDelegation,
    const DelegationResponse& aResponse,
    Instant aNow);
  /// The connection to the peer failed. NotSent means that no byte of the
  /// delegation was sent.
  [[nodiscard]] ForwardActions OnDelegationFailure(DelegationNumber aDelegation,
                                                   AttemptFailure aFailure,
                                                   Instant aNow);

  /// The time as of which the list of targets has to be known to end the
  /// earliest doubt about a restart; empty if there is none. Doubts matter only
  /// for services that limit the rate of cold targets.
  [[nodiscard]] std::optional<Instant> ListNeededAsOf() const;
  /// All changes of the list up to aAsOf have been applied to Targets().
  [[nodiscard]] ForwardActions OnListKnown(Instant aAsOf, Instant aNow);

  /// Handles the timers that are due; to be called at NextWake.
  [[nodiscard]] ForwardActions OnTime(Instant aNow);
  /// Time of the next timer; empty if none is set.
  [[nodiscard]] std::optional<Instant> NextWake() const;

  /// Whether no target of a failure domain other than this node's answers.
  /// False for a domain without targets.
  [[nodiscard]] bool IsDomainUnreachable(const FailureDomain& aDomain,
                                         Instant aNow) const;

  /// Adds an observation that another node has recorded.
  void OnPoisonObservation(const PoisonObservation& aObservation, Instant aNow);
  /// Adds a conviction of another node.
  void OnPoisonConviction(const PoisonConviction& aConviction, Instant aNow);
  /// The requests that this node refuses because they crash targets.
  [[nodiscard]] std::vector<PoisonConviction> PoisonConvictions(
    Instant aNow) const
  {
    return mPoison.Convictions(aNow);
  }
  /// Observations that this node has recorded since the last call.
  [[nodiscard]] std::vector<PoisonObservation> TakePoisonObservations();
  /// Observations of any node that changed what this node knows since the last
  /// call.
  [[nodiscard]] std::vector<PoisonNotice> TakePoisonNotices();

  /// Targets that this node holds back from, or no longer does, since the last
  /// call.
  [[nodiscard]] std::vector<GateNotice> TakeGateNotices();

  /// Number of requests without an outcome.
  [[nodiscard]] std::size_t RunningRequests() const { return mRequests.size(); }

private:
  enum class PartState
  {
    /// Waits for a target that can be asked.
    Waiting,
    Running,
    Done,
    Failed,
  };

  struct Part
  {
    ServiceName mService;
    /// Index of the shard in the route's list.
    std::size_t mShardIndex = 0;
    PartState mState = PartState::Waiting;
    std::vector<AttemptId> mRunning;
    std::vector<TargetName> mTriedTargets;
    std::optional<Instant> mHedgeAt;
    /// Whether an attempt may have run at a target.
    bool mMayHaveRun = false;
    /// The answer. Without one, and only for a request to a single target, the
    /// last failure that a target has signed.
    std::optional<PartReply> mReply;
    /// Domains whose peers have asked no target of this part.
    DomainSet mDecliningDomains;
    /// Domains whose peers were told to ask a target in any case and could not.
    DomainSet mUnableDomains;
    /// Whether the part is in the queue of its service.
    bool mIsQueued = false;
    /// When a waiting part tries again although no attempt of this node at the
    /// service has ended; empty if it waits for such an end only.
    std::optional<Instant> mRetryAt;
    /// Delay before the next such try; it doubles with each. 0 before the
    /// first.
    Duration mRetryDelay{ 0 };
    /// Delegations of this part of which the peer has not reported the end.
    std::vector<DelegationNumber> mDelegations;
    /// Records of the answer below this one may be missing; empty if it is
    /// complete.
    std::string mFloor;
    /// Whether the delegating node has got a report of the end of this part.
    bool mIsEndReported = false;
  };

  struct Request
  {
    CallerRequestPointer mRequest;
    ServingPlanPointer mPlan;
    const Route* mRoute = nullptr;
    const ShardSet* mShards = nullptr;
    std::vector<Part> mParts;
    /// Delegations that have not ended.
    std::vector<DelegationNumber> mDelegations;
    /// Maximum number of targets that are tried for each part, delegated
    /// attempts included.
    std::uint32_t mMaximumAttempts = 1;
    /// When the first report to the delegating node is due; empty for requests
    /// of callers.
    std::optional<Instant> mReportAt;
    bool mHasReported = false;
    /// The delegating node needs no records below this one; empty if it needs
    /// all.
    std::string mFloor;
    Instant mDeadline;
    /// Whether the process ends before the time of the request is up.
    bool mEndsWithProcess = false;
    /// When the latency objective is missed.
    Instant mObjectiveAt;
    /// Time from which an incomplete answer is preferred to a late one.
    Instant mPartialAnswerAt;
    /// When parts that wait for a target fail.
    Instant mWaitUntil;
    Fingerprint mFingerprint;
    /// Targets whose connection was lost while they ran the request.
    std::set<PoisonObservation> mLostTargets;
    ForwardSummary mSummary;
    std::optional<Instant> mWake;
  };

  struct Attempt
  {
    RequestNumber mNumber;
    std::size_t mPart = 0;
    TargetName mTarget;
    UnixMilliseconds mTargetStart{ 0 };
    Instant mSent;
    std::string mRoute;
    /// Whether the request does not need the result any more; it only updates
    /// the record of the target.
    bool mIsAbandoned = false;
  };

  struct OpenDelegation
  {
    RequestNumber mNumber;
    NodeName mPeer;
    /// Index of the peer's failure domain in the table of targets.
    std::size_t mDomain = 0;
    Instant mSent;
    DelegationUrgency mUrgency = DelegationUrgency::IfPreferred;
    /// Parts whose end the peer has not reported, each with the target that the
    /// peer is presumed to have asked.
    std::map<std::size_t, TargetName> mParts;
    /// When the parts are hedged for lack of a report; empty once the peer has
    /// reported or the time has passed.
    std::optional<Instant> mReportDue;
  };

  struct ServiceState
  {
    std::unique_ptr<AttemptBudget> mBudget;
    std::deque<std::pair<RequestNumber, std::size_t>> mWaiting;
  };

  enum class TargetScope
  {
    AllDomains,
    OwnDomain,
  };

  struct Choice
  {
    /// Null if no target can be asked now.
    TargetRecord* mTarget = nullptr;
    /// Whether a suitable target was skipped because it has no free connection.
    bool mHasBusyTarget = false;
    /// When the first of the targets that were skipped because of a rate limit
    /// may be sent the request; empty if there is none.
    std::optional<Instant> mHoldEndsAt;
  };

  /// Parts that a peer gathers for one request.
  struct PeerBatch
  {
    NodeName mPeer;
    std::vector<std::size_t> mParts;
  };
  /// By index of the peer's failure domain.
  using PeerBatches = std::map<std::size_t, PeerBatch>;

  using Requests = std::map<RequestNumber, Request>;
  using WakeQueue = std::set<std::pair<Instant, RequestNumber>>;

  // Submission.
  void AddAnswer(RequestNumber aNumber,
                 ForwardOutcome aOutcome,
                 ForwardSummary aSummary);
  /// Why this node does not admit the request; empty if it does.
  [[nodiscard]] std::optional<RefusedOutcome> AdmissionRefusal(
    const Request& aRequest,
    Instant aNow);
  /// The refusal if the needed targets queue too much work for the request;
  /// empty otherwise.
  [[nodiscard]] std::optional<RefusedOutcome> LoadRefusal(
    const Request& aRequest,
    Instant aNow);
  /// How long a new part would wait at the targets of a service.
  [[nodiscard]] Duration WaitAt(const ServiceName& aService,
                                Instant aNow) const;
  /// The routes that share a service with the request.
  [[nodiscard]] static std::vector<CompetingRoute> CompetingRoutes(
    const Request& aRequest);
  /// The refusal if too few parts have a target that can serve them; empty
  /// otherwise.
  [[nodiscard]] std::optional<RefusedOutcome> CoverageRefusal(
    Request* aRequest,
    Instant aNow) const;
  /// Fingerprint of the request and of who sends it; the same on all nodes.
  [[nodiscard]] static Fingerprint FingerprintOfRequest(
    const CallerRequest& aRequest);
  /// Rank of the request; 0 is served first.
  [[nodiscard]] static std::uint32_t PriorityOf(const Request& aRequest);
  void SetTimes(Request* aRequest, Instant aNow);
  void MakeParts(Request* aRequest, Instant aNow);
  /// Number of parts that wait for a target of the service.
  [[nodiscard]] std::size_t WaitingParts(const ServiceName& aService) const;
  /// When a target of the service can be sent a part of the request; empty if
  /// that is not known.
  [[nodiscard]] std::optional<Instant> ServiceableFrom(
    const ServiceName& aService,
    const CallerId& aCaller,
    const std::string& aRoute,
    Instant aNow) const;
  /// How long a part waits for a rate limit: a query that would be late is
  /// answered without the part, or refused.
  [[nodiscard]] static Instant HoldLimit(const Request& aRequest, Instant aNow);

  // Parts.
  /// Chooses a target of a part that is not delegated. Without one that can be
  /// asked now, the part waits or fails.
  [[nodiscard]] TargetRecord* ChooseFirstTarget(RequestNumber aNumber,
                                                Request* aRequest,
                                                std::size_t aPart,
                                                Instant aNow);
  /// Lets a part wait until a target can be asked. Without a target to wait
  /// for, or without time, the part fails.
  void WaitForTarget(RequestNumber aNumber,
                     Request* aRequest,
                     std::size_t aPart,
                     const Choice& aChoice,
                     Instant aNow);
  /// Counts an attempt as the probe of a suspected target or domain.
  void BeginProbes(TargetRecord* aTarget, Instant aNow);
  void Send(RequestNumber aNumber,
            Request* aRequest,
            std::size_t aPart,
            TargetRecord* aTarget,
            AttemptPurpose aPurpose,
            Instant aNow);
  /// Sends a part to the chosen target, or adds it to the batch of a peer near
  /// the target.
  void SendOrBatch(RequestNumber aNumber,
                   Request* aRequest,
                   std::size_t aPart,
                   TargetRecord* aTarget,
                   AttemptPurpose aPurpose,
                   PeerBatches* aBatches,
                   Instant aNow);
  void DelegateBatches(RequestNumber aNumber,
                       Request* aRequest,
                       const PeerBatches& aBatches,
                       Instant aNow);
  void HedgeParts(RequestNumber aNumber,
                  Request* aRequest,
                  const std::vector<std::size_t>& aParts,
                  Instant aNow);
  /// Sends a part without a running attempt to a further target. Without one
  /// that can be asked now, the part waits or fails.
  void RetryPart(RequestNumber aNumber,
                 Request* aRequest,
                 std::size_t aPart,
                 Instant aNow);
  /// Takes an extra attempt from the budget of the service; false if the budget
  /// is exhausted.
  [[nodiscard]] bool TakeExtraAttempt(const ServiceName& aService,
                                      AttemptPurpose aPurpose,
                                      Instant aNow);
  [[nodiscard]] static bool HasTimeLeft(const Request& aRequest, Instant aNow);
  [[nodiscard]] Choice ChooseTarget(const Request& aRequest,
                                    const Part& aPart,
                                    TargetScope aScope,
                                    AttemptPurpose aPurpose,
                                    Instant aNow);
  /// Whether the target is ready and the operators' rules let it take work of
  /// the caller.
  [[nodiscard]] bool MayServe(const TargetRecord& aTarget,
                              const CallerId& aCaller,
                              const std::string& aRoute) const;
  [[nodiscard]] VersionRank VersionRankOf(const TargetRecord& aTarget,
                                          const std::string& aRoute) const;
  void EndAttempt(AttemptId aAttempt, AttemptEnd aEnd, Instant aNow);
  /// Number of nodes before this one in the order of a target: where there are
  /// fewer requests than nodes, the first ones by rendezvous weight send.
  [[nodiscard]] std::size_t NodesBefore(const TargetRecord& aTarget) const;
  /// Whether the targets of the service take fewer requests while they are
  /// cold.
  [[nodiscard]] static bool LimitsColdTargets(
    const ServiceSettings* aServiceSettings);
  /// This node's share of the rate of a target that is cold or, after a
  /// restart that is not listed yet, may be; empty for all others.
  [[nodiscard]] std::optional<RateShare> ColdShareOf(
    const TargetRecord& aTarget,
    const ServiceSettings* aServiceSettings,
    Instant aNow) const;
  /// Whether the target may get another request beside those that run.
  [[nodiscard]] bool HasFreeConnection(const TargetRecord& aTarget,
                                       const ServiceSettings* aServiceSettings,
                                       bool aIsSuspect) const;
  /// This node's shares of the rates that limit a target now.
  [[nodiscard]] TargetRateShares RateSharesOf(
    const TargetRecord& aTarget,
    const ServiceSettings* aServiceSettings,
    Instant aNow) const;
  /// Maximum number of connections from this node to one target of the service;
  /// at least 1.
  [[nodiscard]] std::uint32_t ConnectionShare(
    const ServiceSettings* aServiceSettings) const;
  /// Whether this node may connect to the target at the given index of the
  /// service's targets.
  [[nodiscard]] bool MayConnect(const ServiceName& aService,
                                std::size_t aIndex,
                                std::size_t aTargets,
                                const ServiceSettings* aServiceSettings) const;
  /// Starts the parts that wait for a target of the service, as far as one can
  /// be asked.
  void StartWaitingParts(const ServiceName& aService, Instant aNow);
  /// Starts a part that has waited.
  void RestartWaitingPart(RequestNumber aNumber,
                          Request* aRequest,
                          std::size_t aPart,
                          Instant aNow);

  /// Time after which a second target is asked for a part that is sent now.
  [[nodiscard]] Duration HedgeDelay(const Request& aRequest,
                                    const Part& aPart,
                                    Instant aNow);

  /// Records as unresponsive the targets of the attempts that still run when
  /// the part is hedged.
  void RecordUnresponsiveTargets(const Part& aPart, Instant aNow);

  // Delegations of this node.
  /// Delegates those of the parts that a peer is expected to gather sooner than
  /// this node, or that have no target in this node's domain.
  void DelegateParts(RequestNumber aNumber,
                     Request* aRequest,
                     const std::vector<std::size_t>& aParts,
                     Instant aNow);
  void Delegate(RequestNumber aNumber,
                Request* aRequest,
                const DomainShards& aShards,
                const NodeName& aPeer,
                DelegationUrgency aUrgency,
                Instant aNow);
  /// The least record that can belong to the answer, as far as this node knows
  /// or expects; empty if it expects nothing.
  [[nodiscard]] std::string RecordFloor(const Request& aRequest);
  /// The peer that asks a target of the part in the chosen target's domain;
  /// null if this node asks the target itself.
  [[nodiscard]] const NodeName* PeerNear(const Request& aRequest,
                                         const Part& aPart,
                                         const TargetRecord& aTarget,
                                         Instant aNow);
  /// The failure domains whose peers are expected to gather the part soonest;
  /// none if this node's own domain has a target that is about as fast.
  [[nodiscard]] DomainSet PreferredRemoteDomains(
    const Request& aRequest,
    const Part& aPart,
    const std::vector<const NodeName*>& aPeers,
    Instant aNow);
  /// The peer to use in each failure domain of the table of targets; null for
  /// this node's domain and for domains without a suitable peer.
  [[nodiscard]] std::vector<const NodeName*> PeersByDomain(
    const Request& aRequest,
    Instant aNow) const;
  /// The target that a peer in the domain will probably ask; empty if there is
  /// none.
  [[nodiscard]] TargetName PresumedTarget(const Request& aRequest,
                                          const Part& aPart,
                                          const FailureDomain& aDomain,
                                          Instant aNow) const;
  /// Hedges the parts of a delegation whose first report is overdue.
  void HedgeOverdueDelegation(DelegationNumber aDelegation,
                              Request* aRequest,
                              Instant aNow);
  /// Whether the report names each part of the delegation at most once and no
  /// other part, with a signature for each answer and a valid list of records.
  [[nodiscard]] static bool IsValidReport(const DelegationReport& aReport,
                                          const OpenDelegation& aDelegation,
                                          const Request& aRequest);
  void ApplyReport(DelegationNumber aDelegation,
                   const DelegationReport& aReport,
                   Request* aRequest,
                   Instant aNow);
  /// Takes the answers of a report for the parts that have none yet.
  void AddPeerAnswers(const DelegationReport& aReport,
                      Request* aRequest,
                      Instant aNow);
  /// Delegates or sends the parts that neither run nor have ended.
  void StartParts(RequestNumber aNumber,
                  Request* aRequest,
                  const std::vector<std::size_t>& aParts,
                  Instant aNow);
  /// Restarts the parts for which the peer has asked no target.
  void RestartParts(RequestNumber aNumber,
                    Request* aRequest,
                    const std::map<std::size_t, TargetName>& aParts,
                    Instant aNow);
  /// Ends a delegation for which the peer has asked no target, and restarts its
  /// parts.
  void RestartDelegatedParts(DelegationNumber aDelegation,
                             Request* aRequest,
                             Instant aNow);
  /// Ends a delegation of which no further report will come. The peer may have
  /// asked any of the targets.
  void FailDelegation(DelegationNumber aDelegation,
                      Request* aRequest,
                      Instant aNow);
  /// Removes a delegation to which no part refers any more.
  void EndDelegation(DelegationNumber aDelegation, Request* aRequest);
  /// Ends a delegation and returns the parts whose end the peer has not
  /// reported, each with its presumed target.
  [[nodiscard]] std::map<std::size_t, TargetName> ReclaimParts(
    DelegationNumber aDelegation,
    Request* aRequest);
  void CancelDelegations(Request* aRequest, CancelReason aReason);

  // Delegations of peers.
  /// Sends a delegated part to a target in this node's domain. If a target
  /// elsewhere would answer sooner, the part ends without an attempt, so that
  /// the delegating node can turn to a peer there.
  void StartDelegatedPart(RequestNumber aNumber,
                          Request* aRequest,
                          std::size_t aPart,
                          DelegationUrgency aUrgency,
                          Instant aNow);
  /// The current or the previous plan; null for any other version.
  [[nodiscard]] ServingPlanPointer PlanOf(PlanVersion aVersion) const;
  void RefuseDelegated(RequestNumber aNumber, RefusalReason aReason);
  void EvaluateDelegated(RequestNumber aNumber,
                         Request* aRequest,
                         Instant aNow);
  /// Reports the parts; those that wait for a connection are marked as failed.
  void Report(RequestNumber aNumber,
              Request* aRequest,
              const std::vector<std::size_t>& aParts);
  void FinishDelegated(RequestNumber aNumber, Instant aNow);

  // Outcomes.
  /// Answers the request if the state of its parts allows it now.
  void Evaluate(RequestNumber aNumber, Instant aNow);
  void EvaluateSingle(RequestNumber aNumber, Request* aRequest, Instant aNow);
  void EvaluateGather(RequestNumber aNumber, Request* aRequest, Instant aNow);
  /// Whether a part of the request may have run at a target.
  [[nodiscard]] bool MayHaveRun(const Request& aRequest) const;
  /// Ends a request without an answer: as refused if it has not run, else as
  /// failed.
  void FinishUnanswered(RequestNumber aNumber, Request* aRequest, Instant aNow);
  [[nodiscard]] GatheredOutcome MergeParts(const Request& aRequest) const;
  /// The greatest records of the parts that are done, up to the number that
  /// the caller gets.
  [[nodiscard]] static std::string MergedRecords(const Request& aRequest);
  /// Frees what the answer to a query can not contain. A part is kept until the
  /// query ends.
  static void KeepTopRecords(const ShardSet& aShards, PartReply* aReply);
  /// Indexes of the parts of which a missing record might belong to the answer.
  [[nodiscard]] static std::vector<std::size_t> InexactParts(
    const Request& aRequest,
    const std::string& aRecords);
  /// Drops the answers of these parts and asks again.
  void RepeatParts(RequestNumber aNumber,
                   Request* aRequest,
                   const std::vector<std::size_t>& aParts,
                   Instant aNow);
  void Finish(RequestNumber aNumber, ForwardOutcome aOutcome, Instant aNow);
  /// Records a poison observation for each target whose connection was lost,
  /// unless some part of the request was answered: the request may have crashed
  /// the targets.
  void RecordPoisonObservations(const Request& aRequest, Instant aNow);
  void AddPoisonObservation(const PoisonObservation& aObservation,
                            PoisonNotice::Source aSource,
                            Instant aNow);
  /// Notes how the gate of a target differs from what it was before.
  void AddGateNotice(const TargetRecord& aTarget,
                     const TargetGate& aBefore,
                     Instant aNow);
  /// Abandons all running attempts of the request.
  void AbandonAll(const Request& aRequest, Instant aNow);
  /// Cancels all running attempts of the request at once. The next OnTime
  /// starts the parts that wait for them.
  void CancelAll(const Request& aRequest, Instant aNow);
  void EraseRequest(Requests::iterator aRequest);
  /// Keeps mDoubtedTargets up to date after an event of the target.
  void UpdateDoubt(const TargetRecord& aTarget);
  /// Common steps at the end of an attempt, whatever its result. aTarget is
  /// null if the target is not listed any more.
  [[nodiscard]] ForwardActions AfterAttempt(AttemptId aAttempt,
                                            const TargetRecord* aTarget,
                                            Instant aNow);
  /// Marks an attempt as abandoned. It is cancelled after a grace period.
  void Abandon(AttemptId aAttempt, Instant aNow);
  void ScheduleWake(RequestNumber aNumber, Request* aRequest, Instant aNow);
  void WakeRequest(RequestNumber aNumber, Instant aNow);

  [[nodiscard]] RouteStatistics& StatisticsOf(const Route& aRoute);
  [[nodiscard]] ServiceState& StateOf(const ServiceName& aService);
  [[nodiscard]] ForwardActions TakeActions();

  ForwardSettings mSettings;
  ServingPlanPointer mPlan;
  /// The previous plan; delegations of peers may still refer to it.
  ServingPlanPointer mPreviousPlan;
  AdmissionFilter mAdmissionFilter;
  VersionPolicy* mVersionPolicy = nullptr;
  DepartureCheck mMayHaveLeft;
  /// When every request must be answered; empty unless the process is ending.
  std::optional<Instant> mAnswerBy;
  /// Sorted by name, this node included.
  std::vector<NodeName> mNodes;
  /// Index of this node in mNodes.
  std::size_t mNodeIndex = 0;
  /// Whether callers are directed to this node.
  bool mServesCallers = true;
  NodeName mSelf;
  TargetRecords mTargets;
  /// Targets that may have restarted, of services that limit the rate of cold
  /// ones. Some of the doubts may have ended.
  std::set<TargetName> mDoubtedTargets;
  DomainReachability mDomains;
  PeerRecords mPeers;
  std::unordered_map<DelegationNumber, OpenDelegation> mDelegations;
  std::uint64_t mNextDelegation = 1;
  Requests mRequests;
  WakeQueue mWakes;
  std::unordered_map<AttemptId, Attempt> mAttempts;
  /// Abandoned attempts by the time at which they are cancelled.
  std::set<std::pair<Instant, AttemptId>> mAbandonedAttempts;
  std::unordered_map<ServiceName, ServiceState> mServices;
  std::unordered_map<std::string, RouteStatistics> mStatistics;
  PoisonDetector mPoison;
  std::vector<PoisonObservation> mPoisonObservations;
  std::vector<PoisonNotice> mPoisonNotices;
  std::vector<GateNotice> mGateNotices;
  std::uint64_t mNextAttempt;
  std::minstd_rand mRandom;
  LoadAdmission mLoad;
  /// Separate from mRandom, so that load decisions do not change the choice of
  /// targets.
  std::minstd_rand mLoadRandom;
  ForwardActions mActions;
};

} // namespace verbenachute
