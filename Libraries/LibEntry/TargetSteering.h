#pragma once

#include <LibConfiguration/TargetListing.h>
#include <LibRouting/ListedTarget.h>

#include <functional>
#include <memory>

namespace verbenachute {

/// Decides by the operators' labels and selectors whether a target may take
/// new work of a caller.
class TargetSteering
{
public:
  using ListTargets = std::function<TargetListing()>;

  explicit TargetSteering(ListTargets aListTargets);

  void SetIntent(std::shared_ptr<const Configuration> aIntent);
  /// Targets have been listed, changed or removed since the last call.
  void OnListingChanged() { mWhole.reset(); }

  /// Whether operators let the target take new work of the caller. A target
  /// with a name that no selector can hold serves only while there is nothing
  /// to hold any target back.
  [[nodiscard]] bool Admits(const ListedTarget& aTarget,
                            const CallerId& aCaller);
  /// What is in force, with all listed targets in it.
  [[nodiscard]] const std::shared_ptr<const Configuration>& Whole();

private:
  ListTargets mListTargets;
  std::shared_ptr<const Configuration> mIntent;
  /// Whether the intent holds any target back.
  bool mSteers = false;
  /// Made at its first use after a change.
  std::shared_ptr<const Configuration> mWhole;
};

} // namespace verbenachute
