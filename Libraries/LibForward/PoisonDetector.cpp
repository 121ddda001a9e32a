#include <LibForward/PoisonDetector.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// How long a request stays poisonous after its last observation.
constexpr Duration kConvictionTime = seconds(60);
// How long a conviction is remembered after that. One observation in this time
// convicts the request again.
constexpr Duration kConvictionMemory = seconds(600);
constexpr std::size_t kMaxEntries = 1024;
// Longer than a datagram is under way, also to a node that is frozen for a
// moment.
constexpr Duration kAgeTolerance = seconds(1);

} // namespace

void
PoisonDetector::EvictOldEntries(Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& aEntry) {
    const Duration lifetime =
      aEntry.second.mIsConvicted ? kConvictionMemory : kConvictionTime;
    return aNow - aEntry.second.mLastObservation > lifetime;
  });
  if (mEntries.size() < kMaxEntries) {
    return;
  }
  // A flood of harmless requests that lost one connection each must not evict
  // the poisonous ones, nor these keep out new ones.
  const auto isConvicted = [](const auto& aEntry) {
    return aEntry.second.mIsConvicted;
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
  const bool wasPoisonous =
    entry.mIsConvicted && aNow - entry.mLastObservation <= kConvictionTime;
  const bool isNew = entry.mObservations.insert(aObservation).second;
  entry.mLastObservation = aNow;
  if (!isNew) {
    return PoisonChange::None;
  }
  const bool isConvicted =
    entry.mIsConvicted || entry.mObservations.size() >= kPoisonThreshold;
  if (wasPoisonous || !isConvicted) {
    return PoisonChange::TargetAdded;
  }
  entry.mIsConvicted = true;
  return PoisonChange::Convicted;
}

PoisonChange
PoisonDetector::OnConviction(const PoisonConviction& aConviction, Instant aNow)
{
  if (aConviction.mAge < Duration(0) || aConviction.mAge > kConvictionTime) {
    return PoisonChange::None;
  }
  const Instant lastObservation = aNow - aConviction.mAge;
  const auto found = mEntries.find(aConviction.mFingerprint);
  if (found != mEntries.end() && found->second.mIsConvicted) {
    // The age is that of the sending, so that a smaller difference may only be
    // the time on the way. Taking it over would keep the conviction alive for
    // as long as nodes send it to each other.
    if (lastObservation - found->second.mLastObservation > kAgeTolerance) {
      found->second.mLastObservation = lastObservation;
    }
    return PoisonChange::None;
  }
  EvictOldEntries(aNow);
  Entry& entry = mEntries[aConviction.mFingerprint];
  entry.mLastObservation = std::max(entry.mLastObservation, lastObservation);
  entry.mIsConvicted = true;
  return PoisonChange::Convicted;
}

std::vector<PoisonConviction>
PoisonDetector::Convictions(Instant aNow) const
{
  std::vector<PoisonConviction> convictions;
  for (const auto& [fingerprint, entry] : mEntries) {
    const Duration age = aNow - entry.mLastObservation;
    if (entry.mIsConvicted && age <= kConvictionTime) {
      convictions.push_back(PoisonConviction{ fingerprint, age });
    }
  }
  return convictions;
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
  return found != mEntries.end() && found->second.mIsConvicted &&
         aNow - found->second.mLastObservation <= kConvictionTime;
}

} // namespace verbenachute
