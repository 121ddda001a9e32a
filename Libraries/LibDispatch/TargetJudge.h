#pragma once

#include <LibCore/TargetState.h>
#include <LibCore/Time.h>
#include <LibDispatch/ColdStartRamp.h>

namespace verbenachute {

/// What an event told about the reach of a target.
enum class JudgeChange
{
  None,
  /// It was lost or unknown and is back: it may be cold.
  Returned,
  Lost,
};

/// Judges whether a target can be reached and takes work, from its answers,
/// from failures and from probes of its versions. The health and load
/// endpoints lag or mislead and are not asked.
class TargetJudge
{
public:
  /// Any reply to a sub-query but one that says it is draining.
  JudgeChange OnReply();
  JudgeChange OnDraining(Instant aNow);
  /// A connection was refused or was lost under work.
  JudgeChange OnConnectionBroken();
  /// Work got no reply in time.
  JudgeChange OnTimeout();
  JudgeChange OnProbeReply(Instant aNow);
  JudgeChange OnProbeFailed();
  /// Nothing is known any more, such as under a new holder.
  void Forget();

  /// Whether work may be sent: it is neither down nor draining.
  [[nodiscard]] bool TakesWork() const;
  /// Whether anything is known about it.
  [[nodiscard]] bool IsKnown() const { return mReach != Reach::Unknown; }
  /// aWarmth tells apart Ready and Warming.
  [[nodiscard]] TargetCondition ConditionOf(Warmth aWarmth) const;

private:
  enum class Reach
  {
    Unknown,
    Up,
    Draining,
    Down,
  };

  JudgeChange Lose();

  Reach mReach = Reach::Unknown;
  int mTimeouts = 0;
  int mFailedProbes = 0;
  Instant mDrainingSince;
};

} // namespace verbenachute
