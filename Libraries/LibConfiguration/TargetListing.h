#pragma once

#include <LibConfiguration/Configuration.h>

#include <map>
#include <memory>
#include <vector>

namespace verbenachute {

/// Targets and failure domains that the platform lists, so that operators do
/// not register them.
struct TargetListing
{
  std::vector<TargetEntry> mTargets;
  std::map<FailureDomain, Region> mDomains;
};

/// The operators' configuration with the listing in it: listed targets take
/// the place of entries of the same name, and listed failure domains that the
/// operators have not named are in. Targets whose names or figures no label or
/// selector could hold are left out. aIntent may be null: the operators have
/// said nothing yet, which counts as revision 0. Errors: as of
/// Configuration::Create.
[[nodiscard]] Result<std::shared_ptr<const Configuration>>
WithListing(const std::shared_ptr<const Configuration>& aIntent,
            const TargetListing& aListing);

/// What of such a configuration operators have said: targets that carry
/// labels, failure domains that carry labels, are out or have labelled
/// targets, and all else. Its size does not grow with the fleet.
[[nodiscard]] Result<std::shared_ptr<const Configuration>>
WithoutListing(const Configuration& aConfiguration);

} // namespace verbenachute
