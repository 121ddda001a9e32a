#pragma once

#include <LibEntry/EvacuationRetention.h>
#include <LibEntry/OperatorConfiguration.h>
#include <LibEntry/RemovalDelay.h>
#include <LibEntry/TargetAdmission.h>
#include <LibForward/ForwardEngine.h>
#include <LibObservation/Logger.h>
#include <LibStore/StoreFollower.h>

#include <platform/KeyWire.h>

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
  /// Offers a plan that comes from a peer; the next Apply puts it into force if
  /// it is newer than the one in force.
  void OfferPlan(std::string aValue) { mOfferedPlan = std::move(aValue); }
  /// Offers the plan that is held back; see HeldPlan.
  void ReleaseHeldPlan();
  /// Version of the store's plan that is held back, since this node has none in
  /// force and the restored store may have an older one than its peers. Empty
  /// if none is held back, as always in era 0.
  [[nodiscard]] std::optional<PlanVersion> HeldPlan() const
  {
    return mHeldVersion;
  }
  /// The encoded plan in force; empty if there is none. A copy, since a
  /// restored store may lack it.
  [[nodiscard]] const std::string& EncodedPlan() const { return mEncodedPlan; }

  /// Removes the targets whose removal delay is over, and lets domains back in
  /// whose evacuation a restored store lacks.
  void OnTime(Instant aNow);
  /// When the next removal delay is over; empty if no target is held.
  [[nodiscard]] std::optional<Instant> NextRemoval() const
  {
    return mRemovalDelay.NextDue();
  }

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
  /// Decodes a plan and logs what is unreadable; nothing if all of it is.
  [[nodiscard]] std::optional<platform::DecodedPlan> DecodePlan(
    const std::string& aValue);
  void ApplyStoredPlan(const std::string& aValue,
                       const StoreFollower& aFollower);
  void ApplyDomainOut(const FailureDomain& aDomain,
                      const StoreChange& aChange,
                      Instant aNow);
  void ApplyOperatorConfiguration();
  void ApplyTarget(const TargetName& aTarget,
                   const StoreChange& aChange,
                   const StoreFollower& aFollower,
                   Instant aNow);
  void Unlist(const TargetName& aTarget, const char* aReason);

  ForwardEngine& mEngine;
  Logger& mLogger;
  RemovalDelay mRemovalDelay;
  std::set<FailureDomain> mDomainsOut;
  EvacuationRetention mEvacuationRetention;
  Domains mDomains;
  Region mDefaultRegion;
  OperatorConfiguration::Keys mOwnKeys;
  OperatorConfiguration mOperatorConfiguration;
  TargetAdmission mTargetAdmission;
  std::string mEncodedPlan;
  std::string mHeldPlan;
  std::optional<PlanVersion> mHeldVersion;
  std::optional<std::string> mOfferedPlan;
  std::uint64_t mUnreadableEntries = 0;
};

} // namespace verbenachute
