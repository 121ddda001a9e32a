#pragma once

#include <LibForward/ForwardAction.h>
#include <LibForward/ForwardSettings.h>
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
  /// Does what is due; call it at NextWake.
  [[nodiscard]] ForwardActions OnTime(Instant aNow);
  [[nodiscard]] std::optional<Instant> NextWake() const;

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
    PartState mState = PartState::Waiting;
    std::vector<AttemptId> mRunning;
    std::vector<TargetName> mTried;
    std::optional<Instant> mHedgeAt;
    /// Whether an attempt may have run at a target.
    bool mMayHaveRun = false;
    /// The answer, or the last failure that a target has signed.
    std::optional<PartReply> mReply;
  };

  struct Request
  {
    CallerRequestPointer mRequest;
    ServingPlanPointer mPlan;
    const Route* mRoute = nullptr;
    const ShardSet* mShards = nullptr;
    std::vector<Part> mParts;
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
  [[nodiscard]] std::optional<RefusedOutcome> AdmissionProblem(
    Request* aRequest,
    Instant aNow);
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

  // Outcomes.
  /// Answers the request if its parts allow it now.
  void Evaluate(RequestNumber aNumber, Instant aNow);
  void EvaluateSingle(RequestNumber aNumber, Request* aRequest, Instant aNow);
  void EvaluateGather(RequestNumber aNumber, Request* aRequest, Instant aNow);
  void GiveUp(RequestNumber aNumber, Request* aRequest, Instant aNow);
  [[nodiscard]] ForwardOutcome Merged(const Request& aRequest) const;
  void Finish(RequestNumber aNumber, ForwardOutcome aOutcome, Instant aNow);
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
  Admittance mAdmittance;
  /// Sorted by name, this node included.
  std::vector<NodeName> mNodes;
  /// Place of this node among them.
  std::size_t mPlace = 0;
  /// Whether callers are sent to this node.
  bool mSender = true;
  NodeName mSelf;
  TargetRecords mTargets;
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
