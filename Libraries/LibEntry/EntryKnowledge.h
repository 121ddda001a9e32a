#pragma once

#include <LibEntry/OperatorIntent.h>
#include <LibEntry/RemovalHold.h>
#include <LibEntry/TargetSteering.h>
#include <LibForward/ForwardEngine.h>
#include <LibObservation/Logger.h>
#include <LibStore/StoreFollower.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace verbenachute {

/// Turns what the store holds into what the engine works with: the plan, the
/// failure domains that are out, the targets, and the operators' labels and
/// selectors.
class EntryKnowledge
{
public:
  using Domains = std::map<FailureDomain, Region>;

  /// aDomains are those of the deployment; aHome is the region of targets in
  /// other domains.
  EntryKnowledge(ForwardEngine& aEngine,
                 Logger& aLogger,
                 Domains aDomains,
                 Region aHome);

  /// Takes over changes of the mirror.
  void Apply(const StoreMirror::Changes& aChanges,
             const StoreFollower& aFollower,
             Instant aNow);
  /// Carries out removals whose hold is over.
  void OnTime(Instant aNow);

  /// Keys of this product, with their values.
  [[nodiscard]] const OperatorIntent::Keys& OwnKeys() const { return mOwn; }
  /// Failure domains that the platform wants to get no new work.
  [[nodiscard]] const std::set<FailureDomain>& DomainsOut() const
  {
    return mOut;
  }
  [[nodiscard]] const OperatorIntent& Intent() const { return mIntent; }
  /// The operators' configuration in force, with all listed targets in it.
  [[nodiscard]] const std::shared_ptr<const Configuration>& Configured()
  {
    return mSteering.Whole();
  }
  /// The targets and failure domains that tell of themselves.
  [[nodiscard]] TargetListing Listing() const;
  /// Entries that could not be read since the start.
  [[nodiscard]] std::uint64_t UnreadableEntries() const { return mUnreadable; }

private:
  void ApplyPlan(const std::string& aValue);
  void ApplyIntent();
  void ApplyTarget(const TargetName& aTarget,
                   const std::optional<std::string>& aValue,
                   const StoreFollower& aFollower,
                   Instant aNow);
  void Unlist(const TargetName& aTarget, const char* aReason);

  ForwardEngine& mEngine;
  Logger& mLogger;
  RemovalHold mHold;
  std::set<FailureDomain> mOut;
  Domains mDomains;
  Region mHome;
  OperatorIntent::Keys mOwn;
  OperatorIntent mIntent;
  TargetSteering mSteering;
  std::uint64_t mUnreadable = 0;
};

} // namespace verbenachute
