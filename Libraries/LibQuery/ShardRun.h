#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibCore/QueryRequest.h>
#include <LibCore/Time.h>
#include <LibQuery/FailureKind.h>
#include <LibQuery/ShardMap.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace verbenachute {

enum class ShardPhase
{
  /// No attempt was sent yet.
  Pending,
  /// At least one attempt is open.
  Running,
  /// Every attempt failed and another one is to be sent.
  Waiting,
  /// Its result is merged.
  Answered,
  /// It will be missing from the answer.
  Missing,
};

/// One shard of one running query: which replicas are left to try, and
/// whether another attempt is allowed. It asserts that a non-idempotent
/// request is never sent while an earlier attempt may have run.
class ShardRun
{
public:
  ShardRun(ShardId aShard,
           Idempotency aIdempotency,
           std::vector<ShardReplica> aCandidates);

  [[nodiscard]] ShardId Shard() const { return mShard; }
  [[nodiscard]] ShardPhase Phase() const { return mPhase; }
  [[nodiscard]] bool IsSettled() const
  {
    return mPhase == ShardPhase::Answered || mPhase == ShardPhase::Missing;
  }
  [[nodiscard]] std::uint32_t OpenCount() const { return mOpen; }

  /// Whether an attempt beyond those made would break a promise, whatever the
  /// budget says.
  [[nodiscard]] bool MaySendAgain() const;

  /// The replica to try next, passing over targets in aAvoided, or null.
  [[nodiscard]] const ShardReplica* NextCandidate(
    const std::set<TargetName>& aAvoided);
  /// Like NextCandidate, but only a ready replica that was never tried.
  [[nodiscard]] const ShardReplica* HedgeCandidate(
    const std::set<TargetName>& aAvoided);

  /// Tries a target a further time after all others, if it was not repeated
  /// too often already.
  void Requeue(const TargetName& aTarget);
  /// How often NextCandidate would now repeat targets; 0 for a fresh one.
  [[nodiscard]] std::uint32_t RepeatNumber() const;

  /// Notes that the candidate given last by NextCandidate was sent to.
  void RecordSent(Instant aNow, std::optional<Duration> aHedgeDelay);
  /// Notes the end of an attempt without a result.
  void RecordFailure(Execution aExecution, FailureKind aKind);
  /// Notes that the result was merged; happens once at most.
  void RecordMerged();
  void RecordMissing();
  void WaitUntil(Instant aInstant);
  /// Moves the hedge to a later time since it was not paid.
  void DeferHedge(Instant aInstant);
  void DropHedge() { mHedgeAt.reset(); }

  [[nodiscard]] std::optional<Instant> HedgeInstant() const { return mHedgeAt; }
  /// How often the hedge of the open attempt was moved.
  [[nodiscard]] std::uint32_t HedgeDeferrals() const { return mDeferrals; }
  [[nodiscard]] Instant RetryInstant() const { return mRetryAt; }
  /// Whether the pinned version is gone at each replica that was asked.
  [[nodiscard]] bool IsVersionGone() const;

private:
  ShardId mShard;
  Idempotency mIdempotency;
  std::vector<ShardReplica> mCandidates;
  std::size_t mFresh;
  std::size_t mNext = 0;
  ShardPhase mPhase = ShardPhase::Pending;
  std::uint32_t mSent = 0;
  std::uint32_t mOpen = 0;
  std::uint32_t mVersionGone = 0;
  bool mMayHaveRun = false;
  std::optional<Instant> mHedgeAt;
  std::uint32_t mDeferrals = 0;
  Instant mRetryAt;
};

} // namespace verbenachute
