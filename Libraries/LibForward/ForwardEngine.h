#pragma once

#include <LibForward/DomainWatch.h>
#include <LibForward/ForwardAction.h>
#include <LibForward/ForwardSettings.h>
#include <LibForward/PeerRecords.h>
#include <LibForward/PoisonLog.h>
#include <LibForward/RouteStatistics.h>
#include <LibForward/TargetRecords.h>

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

/// Decides for each request where it goes, when a second target is asked and
/// what the caller is told. It does no I/O: events and the time go in,
/// actions come out.
class ForwardEngine
{
public:
  /// Whether operators let a target take new work of a caller.
  using Admittance = std::function<bool(const ListedTarget&, const CallerId&)>;

  explicit ForwardEngine(const ForwardSettings& aSettings);

  /// A plan that is not newer than the present one is ignored.
  void SetPlan(ServingPlanPointer aPlan);
  [[nodiscard]] const ServingPlanPointer& Plan() const { return mPlan; }
  void SetExtraLimits(const ExtraLimits& aLimits);
  void SetAdmittance(Admittance aAdmittance);
  /// The nodes that callers are sent to, now or lately, and this one. If this
  /// one is not among them it gets no share of what they share out.
  void SetNodes(std::vector<NodeName> aSenders, const NodeName& aSelf);
  /// The peers that may gather for this node.
  [[nodiscard]] PeerRecords& Peers() { return mPeers; }
  [[nodiscard]] TargetRecords& Targets() { return mTargets; }
  [[nodiscard]] const TargetRecords& Targets() const { return mTargets; }

  /// Takes a request in; the answer may be among the actions.
  [[nodiscard]] ForwardActions Submit(RequestNumber aNumber,
                                      CallerRequestPointer aRequest,
                                      Instant aNow);
  [[nodiscard]] ForwardActions OnReply(AttemptId aAttempt,
                                       PartReply aReply,
                                       Instant aNow);
  [[nodiscard]] ForwardActions OnFailure(AttemptId aAttempt,
                                         AttemptFailure aFailure,
                                         Instant aNow);
  [[nodiscard]] ForwardActions OnCallerGone(RequestNumber aNumber,
                                            Instant aNow);

  /// Takes in what a peer asks this node to gather; reports are among the
  /// actions of this and later calls.
  [[nodiscard]] ForwardActions SubmitDelegated(RequestNumber aNumber,
                                               const DelegatedOrder& aOrder,
                                               Instant aNow);
  /// The node that asked needs nothing any more.
  [[nodiscard]] ForwardActions OnRecalled(RequestNumber aNumber,
                                          RecallReason aReason,
                                          Instant aNow);
  /// What a peer tells of a delegation of this node.
  [[nodiscard]] ForwardActions OnDelegationAnswer(
    DelegationNumber aDelegation,
    const DelegationAnswer& aAnswer,
    Instant aNow);
  /// The connection to the peer failed: NotSent if the order did not leave
  /// this node.
  [[nodiscard]] ForwardActions OnDelegationFailure(DelegationNumber aDelegation,
                                                   AttemptFailure aFailure,
                                                   Instant aNow);

  /// Does what is due; call it at NextWake.
  [[nodiscard]] ForwardActions OnTime(Instant aNow);
  [[nodiscard]] std::optional<Instant> NextWake() const;

  /// Whether nothing of the domain, which is not this node's, answers. False
  /// for a domain without targets.
  [[nodiscard]] bool IsDomainGone(const FailureDomain& aDomain,
                                  Instant aNow) const;

  /// A strike that another node has seen.
  void OnStrike(const PoisonStrike& aStrike, Instant aNow);
  /// Strikes that this node has seen since the last call.
  [[nodiscard]] std::vector<PoisonStrike> TakeStrikes();

  /// Requests that wait for their outcome.
  [[nodiscard]] std::size_t Running() const { return mRequests.size(); }

private:
  enum class PartState
  {
    /// Waits for a connection to become free.
    Waiting,
    Running,
    Done,
    Failed,
  };

  struct Part
  {
    ServiceName mService;
    /// Place of the shard in the route's list.
    std::size_t mPlace = 0;
    PartState mState = PartState::Waiting;
    std::vector<AttemptId> mRunning;
    std::vector<TargetName> mTried;
    std::optional<Instant> mHedgeAt;
    /// Whether an attempt may have run at a target.
    bool mMayHaveRun = false;
    /// The answer, or the last failure that a target has signed.
    std::optional<PartReply> mReply;
    /// A peer has been asked for it and has not told the end.
    std::optional<DelegationNumber> mDelegation;
    /// Block of the request that holds the answer, if a peer gave it.
    std::optional<std::size_t> mBlock;
    /// The node that asked for it has been told the end.
    bool mTold = false;
  };

  /// What a peer has merged of several shards. It counts as a whole or not at
  /// all, since the records can not be told apart.
  struct AnswerBlock
  {
    std::string mRecords;
    std::vector<std::string> mSignatures;
  };

  struct Request
  {
    CallerRequestPointer mRequest;
    ServingPlanPointer mPlan;
    const Route* mRoute = nullptr;
    const ShardSet* mShards = nullptr;
    std::vector<Part> mParts;
    std::vector<AnswerBlock> mBlocks;
    /// Delegations that have not ended.
    std::vector<DelegationNumber> mDelegations;
    /// Targets that each part may be sent to by this node.
    std::uint32_t mMaximumAttempts = 1;
    /// When the node that asked for these parts gets its first report; nothing
    /// for requests of callers.
    std::optional<Instant> mReportAt;
    bool mReported = false;
    Instant mDeadline;
    /// When an incomplete answer becomes better than a late one.
    Instant mCut;
    Instant mWaitUntil;
    Fingerprint mFingerprint;
    std::set<TargetName> mLostAt;
    ForwardSummary mSummary;
    std::optional<Instant> mWake;
  };

  struct Attempt
  {
    RequestNumber mNumber;
    std::size_t mPart = 0;
    TargetName mTarget;
    Instant mSent;
    std::string mRoute;
    /// The request has its outcome; the result only teaches about the target.
    bool mLeftOver = false;
  };

  struct OpenDelegation
  {
    RequestNumber mNumber;
    NodeName mPeer;
    /// Place of the peer's domain.
    std::size_t mDomain = 0;
    Instant mSent;
    /// Parts whose end the peer has not told.
    std::set<std::size_t> mParts;
    /// When other targets are asked; nothing once the peer has reported.
    std::optional<Instant> mPatienceEnds;
  };

  struct ServiceState
  {
    std::unique_ptr<ExtraBudget> mBudget;
    std::deque<std::pair<RequestNumber, std::size_t>> mWaiting;
  };

  struct Choice
  {
    TargetRecord* mTarget = nullptr;
    /// Some target would do but has no free connection.
    bool mBusy = false;
  };

  using Requests = std::map<RequestNumber, Request>;
  using WakeQueue = std::set<std::pair<Instant, RequestNumber>>;

  // Submission.
  void AnswerAtOnce(RequestNumber aNumber,
                    ForwardOutcome aOutcome,
                    ForwardSummary aSummary);
  /// Whether this node takes the request at all.
  [[nodiscard]] std::optional<RefusedOutcome> AdmissionProblem(
    const Request& aRequest,
    Instant aNow);
  /// Whether enough shards have targets.
  [[nodiscard]] std::optional<RefusedOutcome> CoverageProblem(
    Request* aRequest,
    Instant aNow) const;
  [[nodiscard]] static Fingerprint FingerprintOfRequest(
    const CallerRequest& aRequest);
  void SetTimes(Request* aRequest, Instant aNow);
  void MakeParts(Request* aRequest, Instant aNow);
  [[nodiscard]] bool IsServiceable(const ServiceName& aService,
                                   const CallerId& aCaller,
                                   Instant aNow) const;

  // Parts.
  void StartPart(RequestNumber aNumber,
                 Request* aRequest,
                 std::size_t aPart,
                 Instant aNow);
  void Send(RequestNumber aNumber,
            Request* aRequest,
            std::size_t aPart,
            TargetRecord* aTarget,
            Instant aNow);
  void HedgePart(RequestNumber aNumber,
                 Request* aRequest,
                 std::size_t aPart,
                 Instant aNow);
  /// Sends a part that failed to a further target, or gives it up.
  void RetryPart(RequestNumber aNumber,
                 Request* aRequest,
                 std::size_t aPart,
                 Instant aNow);
  /// Takes an extra attempt from the budget of the service.
  [[nodiscard]] bool Pays(const ServiceName& aService,
                          ExtraUse aUse,
                          Instant aNow);
  [[nodiscard]] static bool LeavesTime(const Request& aRequest, Instant aNow);
  [[nodiscard]] Choice ChooseTarget(const Request& aRequest,
                                    const Part& aPart,
                                    Instant aNow);
  [[nodiscard]] bool IsOpen(const TargetRecord& aTarget,
                            const CallerId& aCaller) const;
  [[nodiscard]] bool ColdAllows(TargetRecord* aTarget,
                                const ServiceTerms* aTerms,
                                Instant aNow);
  [[nodiscard]] std::uint32_t ConnectionShare(const ServiceTerms* aTerms) const;
  /// Whether this node may connect to the target at that place of its service.
  [[nodiscard]] bool MayConnect(const ServiceName& aService,
                                std::size_t aPlace,
                                std::size_t aTargets,
                                const ServiceTerms* aTerms) const;
  void ServeWaiting(const ServiceName& aService, Instant aNow);

  /// When a second target is asked for a part that is sent now.
  [[nodiscard]] Duration HedgeDelay(const Request& aRequest,
                                    const Part& aPart,
                                    Instant aNow);

  /// Attempts that still run when the part is hedged tell of their targets.
  void NoteSilence(const Part& aPart, Instant aNow);

  // Delegations of this node.
  void DelegateParts(RequestNumber aNumber, Request* aRequest, Instant aNow);
  /// For each part the domains, other than this node's, that hold its targets
  /// and have a peer; none for a part that this node asks for itself.
  [[nodiscard]] std::vector<DomainSet> HoldersElsewhere(
    const Request& aRequest,
    const std::vector<const NodeName*>& aPeers,
    Instant aNow) const;
  /// The peer to ask in each domain of the table of targets; null for this
  /// node's own and where there is none.
  [[nodiscard]] std::vector<const NodeName*> PeersByDomain(
    const Request& aRequest,
    Instant aNow) const;
  [[nodiscard]] TargetName PresumedTarget(const Request& aRequest,
                                          const Part& aPart,
                                          const FailureDomain& aDomain,
                                          Instant aNow) const;
  void LosePatience(DelegationNumber aDelegation,
                    Request* aRequest,
                    Instant aNow);
  [[nodiscard]] static bool IsSound(const DelegationReport& aReport,
                                    const OpenDelegation& aDelegation,
                                    const Request& aRequest);
  void TakeReport(DelegationNumber aDelegation,
                  const DelegationReport& aReport,
                  Request* aRequest,
                  Instant aNow);
  void TakeBlock(const DelegationReport& aReport,
                 Request* aRequest,
                 Instant aNow);
  /// Starts a part anew for which the peer has asked no target.
  void StartAgain(RequestNumber aNumber,
                  Request* aRequest,
                  std::size_t aPart,
                  Instant aNow);
  /// The peer has not asked any target.
  void UndoDelegation(DelegationNumber aDelegation,
                      Request* aRequest,
                      Instant aNow);
  /// The peer may have asked any of the targets and tells no more.
  void LoseDelegation(DelegationNumber aDelegation,
                      Request* aRequest,
                      Instant aNow);
  /// Forgets a delegation whose parts do not refer to it any more.
  void EndDelegation(DelegationNumber aDelegation, Request* aRequest);
  /// Takes the parts back whose end the peer has not told.
  [[nodiscard]] std::set<std::size_t> TakeBack(DelegationNumber aDelegation,
                                               Request* aRequest);
  void RecallAll(Request* aRequest, RecallReason aReason);

  // Delegations of peers.
  [[nodiscard]] ServingPlanPointer PlanOf(PlanVersion aVersion) const;
  void RefuseDelegated(RequestNumber aNumber, RefusalReason aReason);
  void EvaluateDelegated(RequestNumber aNumber,
                         Request* aRequest,
                         Instant aNow);
  /// Reports the parts; those that wait are given up.
  void Report(RequestNumber aNumber,
              Request* aRequest,
              const std::vector<std::size_t>& aParts);
  void FinishDelegated(RequestNumber aNumber, Instant aNow);

  // Outcomes.
  /// Answers the request if its parts allow it now.
  void Evaluate(RequestNumber aNumber, Instant aNow);
  void EvaluateSingle(RequestNumber aNumber, Request* aRequest, Instant aNow);
  void EvaluateGather(RequestNumber aNumber, Request* aRequest, Instant aNow);
  void GiveUp(RequestNumber aNumber, Request* aRequest, Instant aNow);
  [[nodiscard]] ForwardOutcome Merged(const Request& aRequest) const;
  void Finish(RequestNumber aNumber, ForwardOutcome aOutcome, Instant aNow);
  /// A request that lost all its connections and got no answer at all may be
  /// what broke the targets.
  void NoteStrikes(const Request& aRequest, Instant aNow);
  /// Gives up what still runs for the request.
  void AbandonAll(const Request& aRequest, Instant aNow);
  void Forget(Requests::iterator aRequest);
  /// What follows the end of an attempt, whatever its result.
  [[nodiscard]] ForwardActions AfterAttempt(AttemptId aAttempt,
                                            const TargetRecord* aTarget,
                                            Instant aNow);
  void Abandon(AttemptId aAttempt, Instant aNow);
  void ScheduleWake(RequestNumber aNumber, Request* aRequest, Instant aNow);
  void WakeRequest(RequestNumber aNumber, Instant aNow);

  [[nodiscard]] RouteStatistics& StatisticsOf(const Route& aRoute);
  [[nodiscard]] ServiceState& StateOf(const ServiceName& aService);
  [[nodiscard]] ForwardActions TakeActions();

  ForwardSettings mSettings;
  ServingPlanPointer mPlan;
  /// The plan before; peers may still ask by it.
  ServingPlanPointer mPlanBefore;
  Admittance mAdmittance;
  /// Sorted by name, this node included.
  std::vector<NodeName> mNodes;
  /// Place of this node among them.
  std::size_t mPlace = 0;
  /// Whether callers are sent to this node.
  bool mSender = true;
  NodeName mSelf;
  TargetRecords mTargets;
  DomainWatch mDomains;
  PeerRecords mPeers;
  std::unordered_map<DelegationNumber, OpenDelegation> mDelegations;
  std::uint64_t mNextDelegation = 1;
  Requests mRequests;
  WakeQueue mWakes;
  std::unordered_map<AttemptId, Attempt> mAttempts;
  /// Attempts without a request, by when they are given up.
  std::set<std::pair<Instant, AttemptId>> mLeftOvers;
  std::unordered_map<ServiceName, ServiceState> mServices;
  std::unordered_map<std::string, RouteStatistics> mStatistics;
  PoisonLog mPoison;
  std::vector<PoisonStrike> mStrikes;
  std::uint64_t mNextAttempt;
  std::minstd_rand mRandom;
  ForwardActions mActions;
};

} // namespace verbenachute
