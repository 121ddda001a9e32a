#pragma once

#include <LibForward/ForwardEngine.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// An engine with a plan of one host: /gather/ asks the shards s0, s1, ...,
/// /single/ the service "single", /once/ the service "once" at most once.
class ForwardRig
{
public:
  explicit ForwardRig(std::size_t aShards = 4,
                      double aLeastCoverage = 0.5,
                      ForwardSettings aSettings = Defaults());

  [[nodiscard]] static ForwardSettings Defaults();

  void ListTarget(const std::string& aName,
                  const std::string& aService,
                  TargetStanding aStanding = TargetStanding::Ready,
                  const std::string& aDomain = "");
  /// Lists one target of each shard in this node's domain and one in the
  /// peer's for the first aOwn shards, and two in the peer's domains "far" and
  /// "back" for the rest; makes "peer" a peer in "far".
  void ListSpread(std::size_t aOwn);
  /// Two targets, "-0" and "-1", for each service.
  void ListAll();

  /// Submits a request to a path; its number.
  RequestNumber Submit(const std::string& aPath,
                       std::optional<Duration> aPatience = std::nullopt,
                       Duration aConnecting = Duration(0));
  void Pass(Duration aTime);
  void Answer(AttemptId aAttempt, const std::string& aBody = "");
  void Decline(AttemptId aAttempt);
  void FailSigned(AttemptId aAttempt);
  void Break(AttemptId aAttempt, AttemptFailure aFailure);

  /// Sends that have no result yet, in order.
  [[nodiscard]] std::vector<SendAction> Open() const;
  [[nodiscard]] const AnswerAction* AnswerOf(RequestNumber aNumber) const;
  template<typename Outcome>
  [[nodiscard]] const Outcome* OutcomeOf(RequestNumber aNumber) const
  {
    const AnswerAction* answer = AnswerOf(aNumber);
    return answer == nullptr ? nullptr
                             : std::get_if<Outcome>(&answer->mOutcome);
  }

  ServingPlan::Content mContent;
  ForwardEngine mEngine;
  Instant mNow{ seconds(1000) };
  std::vector<SendAction> mSent;
  std::vector<AttemptId> mCancelled;
  std::vector<DelegateAction> mDelegated;
  std::vector<RecallAction> mRecalls;
  std::vector<ReportAction> mReports;

  void Take(ForwardActions aActions);

private:
  std::map<AttemptId, SendAction> mOpen;
  std::map<RequestNumber, AnswerAction> mAnswers;
  std::uint64_t mNextNumber = 1;
};

} // namespace verbenachute
