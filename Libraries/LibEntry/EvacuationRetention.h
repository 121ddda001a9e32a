#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <map>
#include <vector>

namespace verbenachute {

/// Keeps failure domains out for a while after the store was restored from a
/// copy that lacks their evacuation, so that the operator can write it again
/// before they get new work. It holds at most the domains that were out.
class EvacuationRetention
{
public:
  /// Targets write their entries again within 2 s of the store's return;
  /// operators get five times as long.
  static constexpr Duration kRetained = seconds(10);

  /// The restored store lacks the evacuation of a domain.
  void OnLost(const FailureDomain& aDomain, Instant aNow);
  /// The evacuation was written again, or removed on purpose.
  void OnWritten(const FailureDomain& aDomain);
  /// Returns and forgets the domains whose time is over.
  [[nodiscard]] std::vector<FailureDomain> TakeDue(Instant aNow);

private:
  std::map<FailureDomain, Instant> mDueTimes;
};

} // namespace verbenachute
