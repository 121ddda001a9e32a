#pragma once

#include <LibCore/Time.h>
#include <LibObservation/EventNumber.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace verbenachute {

/// Limits how often an event about one peer is written, so that an outage does
/// not flood the log. Suppressed events are counted and reported.
class EventRateLimiter
{
public:
  enum class Decision
  {
    Write,
    Suppress,
  };

  /// Events of one number and peer that were suppressed in one window.
  struct Suppressed
  {
    EventNumber mNumber;
    std::string mPeer;
    std::uint64_t mCount = 0;
  };

  /// Largest number of events of one number and peer written in each window.
  static constexpr std::uint32_t kBurstPerWindow = 5;
  static constexpr Duration kWindow = seconds(10);
  /// Largest number of pairs of event number and peer that are tracked
  /// separately. Beyond it, all further peers of an event share one window.
  static constexpr std::size_t kMaxKeys = 512;

  /// Decides whether an event is written, and counts it.
  Decision Decide(EventNumber aNumber, const std::string& aPeer, Instant aNow);

  /// Removes the windows that have ended and returns the events that were
  /// suppressed in them.
  std::vector<Suppressed> EndWindows(Instant aNow);

private:
  struct Window
  {
    Instant mStart;
    std::uint32_t mWritten = 0;
    std::uint64_t mSuppressed = 0;
  };
  /// Number and peer; the peer is empty for the peers beyond kMaxKeys.
  using EventKey = std::pair<EventNumber, std::string>;

  EventKey KeyFor(EventNumber aNumber, const std::string& aPeer) const;

  std::map<EventKey, Window> mWindows;
  /// No window ends before this instant.
  Instant mEarliestWindowEnd{ Duration::max() };
};

} // namespace verbenachute
