#include <LibEntry/RemovalHold.h>

namespace verbenachute {

namespace {

// Living targets are back within two seconds of the store's return; half a
// second is for the watch.
constexpr Duration kReturnTime = milliseconds(2500);

} // namespace

RemovalHold::Verdict
RemovalHold::OnRemoved(const TargetName& aTarget,
                       std::optional<Instant> aFailingSince,
                       std::optional<Instant> aRestoredAt,
                       Instant aNow)
{
  if (aFailingSince.has_value()) {
    mHeld[aTarget] = aNow + kReturnTime;
    return Verdict::Held;
  }
  if (aRestoredAt.has_value() && aNow - *aRestoredAt < kReturnTime) {
    mHeld[aTarget] = *aRestoredAt + kReturnTime;
    return Verdict::Held;
  }
  return Verdict::RemoveNow;
}

void
RemovalHold::OnListed(const TargetName& aTarget)
{
  mHeld.erase(aTarget);
}

std::vector<TargetName>
RemovalHold::TakeDue(Instant aNow)
{
  std::vector<TargetName> due;
  for (auto entry = mHeld.begin(); entry != mHeld.end();) {
    if (entry->second > aNow) {
      ++entry;
      continue;
    }
    due.push_back(entry->first);
    entry = mHeld.erase(entry);
  }
  return due;
}

std::optional<Instant>
RemovalHold::NextDue() const
{
  std::optional<Instant> next;
  for (const auto& entry : mHeld) {
    if (!next.has_value() || entry.second < *next) {
      next = entry.second;
    }
  }
  return next;
}

} // namespace verbenachute
