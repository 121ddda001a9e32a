#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <map>
#include <optional>
#include <vector>

namespace verbenachute {

/// Delays the removal of targets around an outage of the store: targets whose
/// entries expired while it was not reachable register again soon after its
/// return if they are alive. Outside outages a removal takes effect
/// immediately.
class RemovalDelay
{
public:
  enum class Verdict
  {
    RemoveNow,
    /// Kept until the delay is over; see TakeDue.
    Delayed,
  };

  /// aFailingSince is the start of the present outage of the store as this node
  /// sees it, aRestoredAt the end of the last one; empty if there is none.
  [[nodiscard]] Verdict OnRemoved(const TargetName& aTarget,
                                  std::optional<Instant> aFailingSince,
                                  std::optional<Instant> aRestoredAt,
                                  Instant aNow);
  /// The target has an entry again, which cancels its removal.
  void OnListed(const TargetName& aTarget);
  /// Returns and forgets the targets whose removal delay is over.
  [[nodiscard]] std::vector<TargetName> TakeDue(Instant aNow);
  /// Time at which the next removal is due; empty if there is none.
  [[nodiscard]] std::optional<Instant> NextDue() const;

private:
  std::map<TargetName, Instant> mDueTimes;
};

} // namespace verbenachute
