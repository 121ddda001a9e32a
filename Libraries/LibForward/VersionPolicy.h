#pragma once

#include <LibForward/ForwardAction.h>
#include <LibRouting/ListedTarget.h>

#include <string>

namespace verbenachute {

/// Whether a target may get a request because of its software version.
enum class VersionRank
{
  Excluded,
  /// Only if no preferred target can be asked now.
  Fallback,
  Preferred,
};

/// How an attempt ended, for the comparison of versions.
enum class AttemptEnd
{
  Answered,
  Failed,
  /// The target has not run the request.
  NotRun,
  /// The result was not needed any more.
  Abandoned,
};

/// Selects software versions of targets and observes all attempts.
class VersionPolicy
{
public:
  virtual ~VersionPolicy() = default;
  [[nodiscard]] virtual VersionRank RankOf(const ListedTarget& aTarget,
                                           const std::string& aRoute) const = 0;
  virtual void OnSent(AttemptId aAttempt,
                      const ListedTarget& aTarget,
                      const std::string& aRoute,
                      bool aIsCold,
                      Instant aNow) = 0;
  virtual void OnEnded(AttemptId aAttempt, AttemptEnd aEnd, Instant aNow) = 0;
};

} // namespace verbenachute
