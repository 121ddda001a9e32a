#pragma once

#include <LibConfiguration/TargetListing.h>
#include <LibRouting/ListedTarget.h>

#include <functional>
#include <memory>

namespace verbenachute {

/// Decides by the operators' labels and selectors whether a target may take new
/// work of a caller.
class TargetAdmission
{
public:
  using ListTargets = std::function<TargetListing()>;

  explicit TargetAdmission(ListTargets aListTargets);

  /// aConfiguration may be null: no configuration is in force.
  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  /// Targets have been listed, changed or removed since the last call.
  void OnListingChanged() { mConfigurationWithTargets.reset(); }

  /// Whether the operators' rules let the target take new work of the caller. A
  /// target whose name cannot occur in a selector serves only while there is no
  /// rule that restricts any target.
  [[nodiscard]] bool Admits(const ListedTarget& aTarget,
                            const CallerId& aCaller);
  /// The configuration in force, with all listed targets in it. Never null.
  [[nodiscard]] const std::shared_ptr<const Configuration>&
  ConfigurationWithTargets();

private:
  ListTargets mListTargets;
  std::shared_ptr<const Configuration> mConfiguration;
  /// Whether the configuration can keep new work from any target.
  bool mRestricts = false;
  /// Built on first use after a change; null until then.
  std::shared_ptr<const Configuration> mConfigurationWithTargets;
};

} // namespace verbenachute
