#include <LibObservation/EventRateLimiter.h>

#include <algorithm>

namespace verbenachute {

EventRateLimiter::Decision
EventRateLimiter::Decide(EventNumber aNumber,
                         const std::string& aPeer,
                         Instant aNow)
{
  Window& window =
    mWindows.try_emplace(KeyFor(aNumber, aPeer), Window{ aNow }).first->second;
  mEarliestWindowEnd = std::min(mEarliestWindowEnd, window.mStart + kWindow);
  if (window.mWritten < kBurstPerWindow) {
    ++window.mWritten;
    return Decision::Write;
  }
  ++window.mSuppressed;
  return Decision::Suppress;
}

std::vector<EventRateLimiter::Suppressed>
EventRateLimiter::EndWindows(Instant aNow)
{
  std::vector<Suppressed> ended;
  if (aNow < mEarliestWindowEnd) {
    return ended;
  }
  mEarliestWindowEnd = Instant(Duration::max());
  for (auto it = mWindows.begin(); it != mWindows.end();) {
    const auto& [key, window] = *it;
    if (aNow - window.mStart < kWindow) {
      mEarliestWindowEnd =
        std::min(mEarliestWindowEnd, window.mStart + kWindow);
      ++it;
      continue;
    }
    if (window.mSuppressed > 0) {
      ended.push_back(Suppressed{ key.first, key.second, window.mSuppressed });
    }
    it = mWindows.erase(it);
  }
  return ended;
}

EventRateLimiter::EventKey
EventRateLimiter::KeyFor(EventNumber aNumber, const std::string& aPeer) const
{
  EventKey key(aNumber, aPeer);
  if (mWindows.contains(key) || mWindows.size() < kMaxKeys) {
    return key;
  }
  return EventKey(aNumber, "");
}

} // namespace verbenachute
