#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <map>
#include <optional>
#include <vector>

namespace verbenachute {

/// Holds back the removal of targets around an outage of the store: entries
/// that lapsed while it was away come back soon after its return, if the
/// target lives. Outside outages a removal takes effect at once.
class RemovalHold
{
public:
  enum class Verdict
  {
    RemoveNow,
    /// Kept until the hold is over; see TakeDue.
    Held,
  };

  /// aFailingSince and aRestoredAt tell of the store, as this node sees it.
  [[nodiscard]] Verdict OnRemoved(const TargetName& aTarget,
                                  std::optional<Instant> aFailingSince,
                                  std::optional<Instant> aRestoredAt,
                                  Instant aNow);
  /// The target has an entry again.
  void OnListed(const TargetName& aTarget);
  /// Targets whose removal stands.
  [[nodiscard]] std::vector<TargetName> TakeDue(Instant aNow);
  [[nodiscard]] std::optional<Instant> NextDue() const;

private:
  std::map<TargetName, Instant> mHeld;
};

} // namespace verbenachute
