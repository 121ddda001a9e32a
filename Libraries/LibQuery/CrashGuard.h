#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <set>

namespace verbenachute {

/// How freely a query may send, given what became of its targets.
enum class SendingState
{
  Free,
  /// A target may have crashed on the query: no hedges, and few attempts at
  /// one time.
  Cautious,
  /// Nothing more may be sent for the query.
  Ended,
};

/// Whether an attempt was sent under caution, so that its end counts.
enum class Watch
{
  Unwatched,
  Watched,
};

/// Keeps one query from crashing target after target. The first crash-like
/// failure makes sending cautious: one attempt at a time, and one more at a
/// time for each target that has answered a cautious attempt. Once an attempt
/// that was sent under caution ends in a crash too, or a gate knows the query
/// as poison, sending ends. A query that is suspected from an earlier run and
/// crashes nothing while the allowance grows to its most is free again. So
/// beyond what was sent before the first crash was known, a query that crashes
/// every target costs one more target.
class CrashGuard
{
public:
  /// aState is Cautious for a query that was suspected in an earlier run.
  explicit CrashGuard(SendingState aState);

  [[nodiscard]] SendingState State() const { return mState; }
  [[nodiscard]] bool HasCrashed() const { return !mCrashed.empty(); }
  /// Targets that may have crashed on the query; they are not tried again.
  [[nodiscard]] const std::set<TargetName>& Crashed() const { return mCrashed; }

  /// Whether one more attempt may be sent now.
  [[nodiscard]] bool MaySend() const;

  /// Notes the sending of an attempt; allowed only while MaySend.
  [[nodiscard]] Watch OnSent();
  void OnAnswered(Watch aWatch);
  void OnCrashed(const TargetName& aTarget, Watch aWatch);
  /// Notes an end that tells nothing about a crash.
  void OnEnded(Watch aWatch);
  void OnPoisoned();

private:
  void Release(Watch aWatch);

  SendingState mState;
  std::set<TargetName> mCrashed;
  std::uint32_t mWatchedOpen = 0;
  std::uint32_t mAllowance = 1;
};

} // namespace verbenachute
