#pragma once

#include <LibEntry/RemovalHold.h>
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
/// failure domains that are out, and the targets.
class EntryKnowledge
{
public:
  EntryKnowledge(ForwardEngine& aEngine, Logger& aLogger);

  /// Takes over changes of the mirror.
  void Apply(const StoreMirror::Changes& aChanges,
             const StoreFollower& aFollower,
             Instant aNow);
  /// Carries out removals whose hold is over.
  void OnTime(Instant aNow);

  /// Keys of this product by their names, with their values.
  [[nodiscard]] const std::map<std::string, std::string>& OwnKeys() const
  {
    return mOwn;
  }
  [[nodiscard]] const std::set<FailureDomain>& DomainsOut() const
  {
    return mOut;
  }
  /// Entries that could not be read since the start.
  [[nodiscard]] std::uint64_t UnreadableEntries() const { return mUnreadable; }

private:
  void ApplyPlan(const std::string& aValue);
  void ApplyTarget(const TargetName& aTarget,
                   const std::optional<std::string>& aValue,
                   const StoreFollower& aFollower,
                   Instant aNow);
  void Unlist(const TargetName& aTarget, const char* aReason);

  ForwardEngine& mEngine;
  Logger& mLogger;
  RemovalHold mHold;
  std::set<FailureDomain> mOut;
  std::map<std::string, std::string> mOwn;
  std::uint64_t mUnreadable = 0;
};

} // namespace verbenachute
