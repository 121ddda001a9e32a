#include <LibQuery/SuspectTable.h>

#include <algorithm>
#include <cstddef>

namespace verbenachute {

namespace {

constexpr seconds kSuspicion{ 60 };
constexpr std::size_t kMaximumSuspects = 1024;

} // namespace

void
SuspectTable::Suspect(Fingerprint aFingerprint, Instant aNow)
{
  if (mUntil.size() >= kMaximumSuspects && !mUntil.contains(aFingerprint)) {
    mUntil.erase(std::min_element(
      mUntil.begin(), mUntil.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      }));
  }
  mUntil[aFingerprint] = aNow + kSuspicion;
}

void
SuspectTable::Clear(Fingerprint aFingerprint)
{
  mUntil.erase(aFingerprint);
}

bool
SuspectTable::IsSuspect(Fingerprint aFingerprint, Instant aNow) const
{
  const auto until = mUntil.find(aFingerprint);
  return until != mUntil.end() && aNow < until->second;
}

} // namespace verbenachute
