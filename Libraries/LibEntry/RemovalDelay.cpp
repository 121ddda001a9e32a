#include <LibEntry/RemovalDelay.h>

#include <LibEntry/DueTimes.h>

namespace verbenachute {

namespace {

// Targets that are alive register again within 2 s of the store's return; 0.5 s
// is for the watch to deliver that.
constexpr Duration kReregistrationTime = milliseconds(2500);

} // namespace

RemovalDelay::Verdict
RemovalDelay::OnRemoved(const TargetName& aTarget,
                        std::optional<Instant> aFailingSince,
                        std::optional<Instant> aRestoredAt,
                        Instant aNow)
{
  if (aFailingSince.has_value()) {
    mDueTimes[aTarget] = aNow + kReregistrationTime;
    return Verdict::Delayed;
  }
  if (aRestoredAt.has_value() && aNow - *aRestoredAt < kReregistrationTime) {
    mDueTimes[aTarget] = *aRestoredAt + kReregistrationTime;
    return Verdict::Delayed;
  }
  return Verdict::RemoveNow;
}

void
RemovalDelay::OnListed(const TargetName& aTarget)
{
  mDueTimes.erase(aTarget);
}

std::vector<TargetName>
RemovalDelay::TakeDue(Instant aNow)
{
  return TakeDueKeys(&mDueTimes, aNow);
}

std::optional<Instant>
RemovalDelay::NextDue() const
{
  std::optional<Instant> next;
  for (const auto& entry : mDueTimes) {
    if (!next.has_value() || entry.second < *next) {
      next = entry.second;
    }
  }
  return next;
}

} // namespace verbenachute
