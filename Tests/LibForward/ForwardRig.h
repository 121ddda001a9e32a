#pragma once

#include <LibForward/ForwardEngine.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// A ForwardEngine with a plan for one host: /gather/ queries the shards s0,
/// s1,
/// ..., /single/ the service "single" and /once/ the service "once", at most
/// once. It records the actions and keeps a virtual clock.
class ForwardRig
{
public:
  /// Host of the routes.
  static constexpr const char* kHost = "h.example";

  explicit ForwardRig(std::size_t aShards = 4,
                      double aMinimumCoverage = 0.5,
                      ForwardSettings aSettings = Defaults());

  [[nodiscard]] static ForwardSettings Defaults();

  void ListTarget(const std::string& aName,
                  const std::string& aService,
                  TargetAvailability aAvailability = TargetAvailability::Ready,
                  const std::string& aDomain = "");
  /// Lists two targets of each shard: of the first aLocalShards one in this
  /// node's domain and one in "far", of the others one in "far" and one in
  /// "back". Adds the node "peer" in "far" as a peer.
  void ListAcrossDomains(std::size_t aLocalShards);
  /// Lists two targets for each service, with the suffixes "-0" and "-1".
  void ListAll();

  /// Submits a request for a path and returns its number.
  RequestNumber Submit(const std::string& aPath,
                       std::optional<Duration> aTimeout = std::nullopt,
                       Duration aConnectTime = Duration(0));
  void Pass(Duration aTime);
  void Answer(AttemptId aAttempt, const std::string& aBody = "");
  void Decline(AttemptId aAttempt);
  /// The target ran the request and answers with a failure of its own.
  void FailSigned(AttemptId aAttempt);
  /// The same with a status that callers read as a promise of "not run".
  void FailSignedAsNotRun(AttemptId aAttempt);
  void Break(AttemptId aAttempt, AttemptFailure aFailure);

  /// Sends without a result, in the order of their attempt numbers.
  [[nodiscard]] std::vector<SendAction> Open() const;
  /// Null if the request has not been answered.
  [[nodiscard]] const AnswerAction* AnswerOf(RequestNumber aNumber) const;
  /// Null if the request has not been answered or has another outcome.
  template<typename Outcome>
  [[nodiscard]] const Outcome* OutcomeOf(RequestNumber aNumber) const
  {
    const AnswerAction* answer = AnswerOf(aNumber);
    return answer == nullptr ? nullptr
                             : std::get_if<Outcome>(&answer->mOutcome);
  }

  /// Tenant of the requests that are submitted next; empty for none.
  TenantName mTenant;
  /// Host of the requests that are submitted next.
  std::string mHost = kHost;
  ServingPlan::Content mContent;
  ForwardEngine mEngine;
  Instant mNow{ seconds(1000) };
  std::vector<SendAction> mSent;
  std::vector<AttemptId> mCancelled;
  std::vector<DelegateAction> mDelegated;
  std::vector<CancelDelegationAction> mCancelledDelegations;
  std::vector<ReportAction> mReports;

  /// Records the actions and checks what holds for each of them.
  void Take(ForwardActions aActions);

private:
  std::map<AttemptId, SendAction> mOpen;
  std::map<RequestNumber, AnswerAction> mAnswers;
  std::uint64_t mNextNumber = 1;
};

} // namespace verbenachute
