#pragma once

#include <LibEntry/OperatorConfiguration.h>
#include <LibEntry/RemovalDelay.h>
#include <LibEntry/TargetAdmission.h>
#include <LibForward/ForwardEngine.h>
#include <LibObservation/Logger.h>
#include <LibStore/StoreFollower.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace verbenachute {

/// Applies the contents of the store to the forward engine: the plan, the
/// failure domains that are out, the targets, and the operators' labels and
/// selectors.
class EntryState
{
public:
  using Domains = std::map<FailureDomain, Region>;

  /// aDomains are the failure domains of the deployment with their regions;
  /// aDefaultRegion is the region of targets in other domains.
  EntryState(ForwardEngine& aEngine,
             Logger& aLogger,
             Domains aDomains,
             Region aDefaultRegion);

  /// Applies changes of the mirror of the store.
  void Apply(const StoreMirror::Changes& aChanges,
             const StoreFollower& aFollower,
             Instant aNow);
  /// Removes the targets whose removal delay is over.
  void OnTime(Instant aNow);

  /// Keys that this product writes to the store, with their values.
  [[nodiscard]] const OperatorConfiguration::Keys& OwnKeys() const
  {
    return mOwnKeys;
  }
  /// Failure domains that the platform wants to get no new work.
  [[nodiscard]] const std::set<FailureDomain>& DomainsOut() const
  {
    return mDomainsOut;
  }
  [[nodiscard]] const OperatorConfiguration& Intent() const
  {
    return mOperatorConfiguration;
  }
  /// The operators' configuration in force, with all listed targets in it.
  [[nodiscard]] const std::shared_ptr<const Configuration>& Configured()
  {
    return mTargetAdmission.ConfigurationWithTargets();
  }
  /// The targets and failure domains that the store lists.
  [[nodiscard]] TargetListing Listing() const;
  /// Number of entries since the start that could not be read.
  [[nodiscard]] std::uint64_t UnreadableEntries() const
  {
    return mUnreadableEntries;
  }

private:
  void ApplyPlan(const std::string& aValue);
  void ApplyOperatorConfiguration();
  void ApplyTarget(const TargetName& aTarget,
                   const std::optional<std::string>& aValue,
                   const StoreFollower& aFollower,
                   Instant aNow);
  void Unlist(const TargetName& aTarget, const char* aReason);

  ForwardEngine& mEngine;
  Logger& mLogger;
  RemovalDelay mRemovalDelay;
  std::set<FailureDomain> mDomainsOut;
  Domains mDomains;
  Region mDefaultRegion;
  OperatorConfiguration::Keys mOwnKeys;
  OperatorConfiguration mOperatorConfiguration;
  TargetAdmission mTargetAdmission;
  std::uint64_t mUnreadableEntries = 0;
};

} // namespace verbenachute
