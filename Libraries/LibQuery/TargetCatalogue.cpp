#include <LibQuery/TargetCatalogue.h>

#include <LibQuery/ShardMapBuilder.h>

namespace verbenachute {

ReportVerdict
TargetCatalogue::Apply(const NodeIdentity& aHolder, const TargetState& aState)
{
  if (IsDead(aHolder)) {
    return ReportVerdict::DeadLife;
  }
  mOldestLife[aHolder.mName] = aHolder.mIncarnation;
  const auto known = mEntries.find(aState.mTarget);
  if (known == mEntries.end()) {
    mEntries.emplace(aState.mTarget, Entry{ aHolder, aState });
    mGeneration += 1;
    return ReportVerdict::Taken;
  }
  if (!Supersedes(aState, known->second)) {
    return ReportVerdict::Outdated;
  }
  const TargetState& before = known->second.mState;
  const bool isChanged = before.mCondition != aState.mCondition ||
                         before.mVersions != aState.mVersions;
  known->second = Entry{ aHolder, aState };
  mGeneration += isChanged ? 1 : 0;
  return ReportVerdict::Taken;
}

void
TargetCatalogue::HolderLost(const NodeIdentity& aHolder)
{
  const Incarnation next(aHolder.mIncarnation.value() + 1);
  Incarnation& oldest = mOldestLife[aHolder.mName];
  if (oldest < next) {
    oldest = next;
  }
}

void
TargetCatalogue::Forget(const TargetName& aTarget)
{
  if (mEntries.erase(aTarget) > 0) {
    mGeneration += 1;
  }
}

const TargetState*
TargetCatalogue::Find(const TargetName& aTarget) const
{
  const auto entry = mEntries.find(aTarget);
  return entry == mEntries.end() ? nullptr : &entry->second.mState;
}

std::uint64_t
TargetCatalogue::NextSequence(const TargetName& aTarget) const
{
  const TargetState* state = Find(aTarget);
  return state == nullptr ? 1 : state->mSequence + 1;
}

std::vector<IndexVersion>
TargetCatalogue::VersionsOf(const ServiceName& aService,
                            const ConfigurationView& aView)
{
  std::vector<IndexVersion> versions;
  for (const ShardMap& map : ShardMapsOf(aService, aView)) {
    versions.push_back(map.mVersion);
  }
  return versions;
}

const std::vector<ShardMap>&
TargetCatalogue::ShardMapsOf(const ServiceName& aService,
                             const ConfigurationView& aView)
{
  ServiceMaps& maps = mServices[aService];
  if (maps.mGeneration == mGeneration &&
      maps.mRevision == aView.CurrentRevision()) {
    return maps.mMaps;
  }
  ShardMapBuilder builder;
  for (const TargetName& target : aView.TargetsOf(aService)) {
    const TargetState* state = Find(target);
    if (state != nullptr) {
      builder.Add(*state);
    }
  }
  maps = ServiceMaps{ aView.CurrentRevision(), mGeneration, builder.Build() };
  return maps.mMaps;
}

bool
TargetCatalogue::IsDead(const NodeIdentity& aHolder) const
{
  const auto oldest = mOldestLife.find(aHolder.mName);
  return oldest != mOldestLife.end() && aHolder.mIncarnation < oldest->second;
}

bool
TargetCatalogue::Supersedes(const TargetState& aState,
                            const Entry& aKnown) const
{
  // A restarted or a newly appointed holder may not know how far the sequence
  // of a dead one had grown.
  if (IsDead(aKnown.mHolder)) {
    return true;
  }
  return aState.mSequence > aKnown.mState.mSequence;
}

} // namespace verbenachute
