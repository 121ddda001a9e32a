#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <LibCore/Identifiers.h>
#include <LibCore/TargetState.h>
#include <LibQuery/ShardMap.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace verbenachute {

/// What became of a report about a target.
enum class ReportVerdict
{
  Taken,
  /// An equal or newer report of the target is known already.
  Outdated,
  /// The life of the holder that reported is over.
  DeadLife,
};

/// What all holders have told about the versions and the condition of their
/// targets. Knows nothing of who may use a target.
class TargetCatalogue
{
public:
  /// Takes a report of one life of a holder. Of two reports by the same life
  /// or by two holders the larger sequence wins; a later life of the same
  /// holder wins over its earlier life, and anyone wins over a lost life.
  ReportVerdict Apply(const NodeIdentity& aHolder, const TargetState& aState);

  /// Notes that one life of a holder, and all before it, have ended. What it
  /// told stays known until a successor tells better.
  void HolderLost(const NodeIdentity& aHolder);

  /// Forgets a target that is no longer registered.
  void Forget(const TargetName& aTarget);

  /// The newest report of a target, or null.
  [[nodiscard]] const TargetState* Find(const TargetName& aTarget) const;

  /// Sequence with which a new holder of the target should start, so that its
  /// reports win over those of its predecessor.
  [[nodiscard]] std::uint64_t NextSequence(const TargetName& aTarget) const;

  /// Number of changes so far; equal numbers mean equal conditions and
  /// versions of all targets.
  [[nodiscard]] std::uint64_t Generation() const { return mGeneration; }

  /// The versions of a service, newest first. A version on whose shard count
  /// the targets are evenly divided is left out.
  [[nodiscard]] std::vector<IndexVersion> VersionsOf(
    const ServiceName& aService,
    const ConfigurationView& aView);

  /// The shard maps of a service, newest version first. The reference holds
  /// until the next call of any method.
  [[nodiscard]] const std::vector<ShardMap>& ShardMapsOf(
    const ServiceName& aService,
    const ConfigurationView& aView);

private:
  struct Entry
  {
    NodeIdentity mHolder;
    TargetState mState;
  };

  struct ServiceMaps
  {
    Revision mRevision;
    std::uint64_t mGeneration = 0;
    std::vector<ShardMap> mMaps;
  };

  [[nodiscard]] bool IsDead(const NodeIdentity& aHolder) const;
  [[nodiscard]] bool Supersedes(const TargetState& aState,
                                const Entry& aKnown) const;

  std::unordered_map<TargetName, Entry> mEntries;
  /// Smallest incarnation of each holder whose reports still count.
  std::unordered_map<NodeName, Incarnation> mOldestLife;
  std::unordered_map<ServiceName, ServiceMaps> mServices;
  std::uint64_t mGeneration = 1;
};

} // namespace verbenachute
