#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibCore/SubQuery.h>
#include <LibCore/Time.h>
#include <LibQuery/CrashGuard.h>

#include <cstdint>
#include <vector>

namespace verbenachute {

enum class AttemptState
{
  /// Sent, and neither answered nor given up.
  Open,
  Closed,
};

/// One attempt of a query, from its sending on.
struct Attempt
{
  AttemptId mId;
  AttemptKind mKind = AttemptKind::First;
  ShardId mShard;
  TargetName mTarget;
  Instant mSentAt;
  Watch mWatch = Watch::Unwatched;
  AttemptState mState = AttemptState::Open;
  /// What is known of its execution; an open attempt may run at any time.
  Execution mExecution = Execution::OutcomeUnknown;
};

/// All attempts that one query ever made, so that each answer finds its own.
class AttemptTable
{
public:
  /// Adds an attempt; identifiers must ascend.
  void Add(Attempt aAttempt);

  /// The attempt with this identifier, or null. The pointer holds until the
  /// next call of Add.
  [[nodiscard]] Attempt* Find(AttemptId aId);

  /// Closes an open attempt with what is known of its execution.
  static void Close(Attempt& aAttempt, Execution aExecution);

  [[nodiscard]] std::vector<AttemptId> OpenAttempts() const;
  [[nodiscard]] std::vector<AttemptId> OpenAttemptsOf(ShardId aShard) const;
  [[nodiscard]] std::vector<AttemptId> OpenAttemptsAt(
    const TargetName& aTarget) const;

  /// What is known of the execution of the whole query. NotRun only if every
  /// attempt is known not to have run.
  [[nodiscard]] Execution Summary() const;

private:
  template<typename Predicate>
  [[nodiscard]] std::vector<AttemptId> OpenWhere(Predicate aPredicate) const;

  std::vector<Attempt> mAttempts;
};

} // namespace verbenachute
