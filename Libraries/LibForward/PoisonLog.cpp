#include <LibForward/PoisonLog.h>

#include <algorithm>

namespace verbenachute {

namespace {

// How long a request stays poisonous after its last report.
constexpr Duration kEntryLifetime = seconds(60);
constexpr std::size_t kMaxEntries = 1024;

} // namespace

void
PoisonLog::EvictOldEntries(Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastReport > kEntryLifetime;
  });
  if (mEntries.size() < kMaxEntries) {
    return;
  }
  const auto oldest = std::min_element(
    mEntries.begin(), mEntries.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second.mLastReport < aOther.second.mLastReport;
    });
  mEntries.erase(oldest);
}

void
PoisonLog::OnStrike(const PoisonStrike& aStrike, Instant aNow)
{
  EvictOldEntries(aNow);
  Entry& entry = mEntries[aStrike.mFingerprint];
  entry.mTargets.insert(aStrike.mTarget);
  entry.mLastReport = aNow;
}

void
PoisonLog::OnAnswered(Fingerprint aFingerprint)
{
  if (!mEntries.empty()) {
    mEntries.erase(aFingerprint);
  }
}

bool
PoisonLog::IsPoisonous(Fingerprint aFingerprint, Instant aNow)
{
  const auto found = mEntries.find(aFingerprint);
  return found != mEntries.end() &&
         found->second.mTargets.size() >= kPoisonThreshold &&
         aNow - found->second.mLastReport <= kEntryLifetime;
}

} // namespace verbenachute
