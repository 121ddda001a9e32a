#include <LibForward/PoisonDetector.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// How long a request stays poisonous after its last observation.
constexpr Duration kEntryLifetime = seconds(60);
constexpr std::size_t kMaxEntries = 1024;

} // namespace

void
PoisonDetector::EvictOldEntries(Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastObservation > kEntryLifetime;
  });
  if (mEntries.size() < kMaxEntries) {
    return;
  }
  // A flood of harmless requests that lost one connection each must not evict
  // the poisonous ones, nor these keep out new ones.
  const auto isConvicted = [](const auto& aEntry) {
    return aEntry.second.mTargets.size() >= kPoisonThreshold;
  };
  const std::size_t convicted = static_cast<std::size_t>(
    std::count_if(mEntries.begin(), mEntries.end(), isConvicted));
  const bool evictsConvicted = convicted > kMaxEntries / 2;
  const auto rank = [&](const auto& aEntry) {
    return std::pair(isConvicted(aEntry) != evictsConvicted,
                     aEntry.second.mLastObservation);
  };
  mEntries.erase(std::min_element(mEntries.begin(),
                                  mEntries.end(),
                                  [&](const auto& aOne, const auto& aOther) {
                                    return rank(aOne) < rank(aOther);
                                  }));
}

PoisonChange
PoisonDetector::OnPoisonObservation(const PoisonObservation& aObservation,
                                    Instant aNow)
{
  EvictOldEntries(aNow);
  Entry& entry = mEntries[aObservation.mFingerprint];
  const bool isNew = entry.mTargets.insert(aObservation.mTarget).second;
  entry.mLastObservation = aNow;
  if (!isNew) {
    return PoisonChange::None;
  }
  return entry.mTargets.size() == kPoisonThreshold ? PoisonChange::Convicted
                                                   : PoisonChange::TargetAdded;
}

void
PoisonDetector::OnAnswered(Fingerprint aFingerprint)
{
  if (!mEntries.empty()) {
    mEntries.erase(aFingerprint);
  }
}

bool
PoisonDetector::IsPoisonous(Fingerprint aFingerprint, Instant aNow)
{
  const auto found = mEntries.find(aFingerprint);
  return found != mEntries.end() &&
         found->second.mTargets.size() >= kPoisonThreshold &&
         aNow - found->second.mLastObservation <= kEntryLifetime;
}

} // namespace verbenachute
