#include <LibForward/PoisonLog.h>

#include <algorithm>

namespace verbenachute {

namespace {

// How long a request stays convicted after its last strike.
constexpr Duration kMemory = seconds(60);
constexpr std::size_t kMostEntries = 1024;

} // namespace

void
PoisonLog::Expire(Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLast > kMemory;
  });
  if (mEntries.size() < kMostEntries) {
    return;
  }
  const auto oldest = std::min_element(
    mEntries.begin(), mEntries.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second.mLast < aOther.second.mLast;
    });
  mEntries.erase(oldest);
}

void
PoisonLog::OnStrike(const PoisonStrike& aStrike, Instant aNow)
{
  Expire(aNow);
  Entry& entry = mEntries[aStrike.mFingerprint];
  entry.mTargets.insert(aStrike.mTarget);
  entry.mLast = aNow;
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
  return found != mEntries.end() && found->second.mTargets.size() >= kStrikes &&
         aNow - found->second.mLast <= kMemory;
}

} // namespace verbenachute
