#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/QueryAnswer.h>
#include <LibCore/QueryRequest.h>
#include <LibCore/SubAnswer.h>
#include <LibCore/Time.h>
#include <LibQuery/AttemptTable.h>
#include <LibQuery/CrashGuard.h>
#include <LibQuery/FailureKind.h>
#include <LibQuery/QueryAction.h>
#include <LibQuery/QueryPlan.h>
#include <LibQuery/QueryResources.h>
#include <LibQuery/ResultMerger.h>
#include <LibQuery/ShardRun.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// Runs one query: sends its sub-queries, hedges and retries them as far as
/// the budget and the promises allow, merges one result for each shard of the
/// one pinned version, and answers shortly before the deadline at the latest.
/// Each event gives the actions to carry out, in their order.
class QueryCoordinator
{
public:
  /// aDeadline is the caller's. aSending is Cautious for a query that may have
  /// crashed targets in an earlier run.
  QueryCoordinator(QueryId aId,
                   QueryRequest aRequest,
                   QueryPlan aPlan,
                   Instant aDeadline,
                   SendingState aSending,
                   QueryResources aResources);

  /// Sends the first attempts. Comes first and once.
  [[nodiscard]] QueryActions Start(Instant aNow);

  /// Takes the answer to an attempt. Answers that are late, doubled, crossed
  /// or from another version are dropped.
  [[nodiscard]] QueryActions OnSubAnswer(const SubAnswer& aAnswer,
                                         Instant aNow);

  /// Does what is due. Coming early or too often does no harm.
  [[nodiscard]] QueryActions OnTimer(Instant aNow);

  /// The caller hung up. An idempotent query is cancelled; a non-idempotent
  /// one runs on, so that a repeat of the request finds its outcome.
  [[nodiscard]] QueryActions OnCallerDisconnected(Instant aNow);

  /// A target was lost with whatever it ran.
  [[nodiscard]] QueryActions OnTargetLost(const TargetName& aTarget,
                                          Instant aNow);

  [[nodiscard]] bool IsComplete() const { return mIsComplete; }
  /// The version that the query is pinned to now.
  [[nodiscard]] IndexVersion Snapshot() const { return mVersion; }
  /// Shards whose result is merged so far.
  [[nodiscard]] std::uint32_t MergedCount() const { return mMerged; }
  /// What the query did to its targets, for the node to remember.
  [[nodiscard]] const CrashGuard& Guard() const { return mGuard; }

private:
  enum class Round
  {
    First,
    /// Planned again since the first version is gone.
    Second,
  };

  void AdoptPlan(QueryPlan aPlan);
  void Pump(Instant aNow);
  void SendIfAllowed(ShardRun& aShard, Instant aNow);
  void SendNext(ShardRun& aShard, Instant aNow);
  void Send(ShardRun& aShard,
            const TargetName& aTarget,
            AttemptKind aKind,
            Instant aNow);
  [[nodiscard]] SubQuery MakeSubQuery(const Attempt& aAttempt,
                                      Instant aNow) const;
  void Hedge(ShardRun& aShard, Instant aNow);
  [[nodiscard]] Payment Pay(std::size_t aAttempts, Urgency aUrgency);

  void Merge(Attempt& aAttempt, const ShardResult& aResult, Instant aNow);
  void Fail(Attempt& aAttempt, const SubFailure& aFailure, Instant aNow);
  void TellGuard(const Attempt& aAttempt, FailureKind aKind);
  void AfterFailure(ShardRun& aShard,
                    const Attempt& aAttempt,
                    FailureKind aKind,
                    Instant aNow);
  [[nodiscard]] bool MayRetry(const ShardRun& aShard, FailureKind aKind) const;
  [[nodiscard]] bool Replan(Instant aNow);
  void GiveUp(ShardRun& aShard);
  void Cancel(AttemptId aAttempt, Instant aNow);
  void NoteError(const Error& aError);

  [[nodiscard]] QueryActions Finish(Instant aNow);
  void Complete(QueryOutcome aOutcome, Instant aNow);
  [[nodiscard]] QueryOutcome Outcome() const;
  [[nodiscard]] Coverage CoverageNow() const;
  [[nodiscard]] QueryRefusal Refusal(Error aError) const;
  void Arm(Instant aAt);
  void ArmNext();

  QueryId mId;
  QueryRequest mRequest;
  Fingerprint mFingerprint;
  QueryResources mResources;
  Instant mStartedAt;
  /// When the answer is given at the latest.
  Instant mCompleteAt;
  /// When the time of sub-queries ends.
  Instant mSendUntil;

  IndexVersion mVersion;
  Round mRound = Round::First;
  std::vector<ShardRun> mShards;
  /// Shards neither answered nor missing.
  std::size_t mUnsettled = 0;
  std::uint32_t mMerged = 0;
  AttemptTable mAttempts;
  CrashGuard mGuard;
  ResultMerger mMerger;
  std::uint32_t mExtraAttempts = 0;
  /// Extra attempts that the budget has paid.
  std::uint32_t mPaidAttempts = 0;
  std::optional<Error> mError;
  std::optional<Instant> mArmed;
  bool mIsStarted = false;
  bool mIsComplete = false;
  QueryActions mActions;
};

} // namespace verbenachute
