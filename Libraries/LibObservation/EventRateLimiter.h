#pragma once

#include <LibCore/Time.h>
#include <LibObservation/EventNumber.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace verbenachute {

/// Limits how often one event about one peer is written, so that an outage
/// does not flood the log. What is suppressed is counted and reported.
class EventRateLimiter
{
public:
  enum class Decision
  {
    Write,
    Suppress,
  };

  /// Repeats of one event that were counted instead of written.
  struct Suppressed
  {
    EventNumber mNumber;
    std::string mPeer;
    std::uint64_t mCount = 0;
  };

  /// Events of one number and peer that are written in each window.
  static constexpr std::uint32_t kBurstPerWindow = 5;
  static constexpr Duration kWindow = seconds(10);
  /// Pairs of number and peer that are told apart; further peers of an event
  /// share one pair.
  static constexpr std::size_t kMaxPairs = 512;

  Decision Decide(EventNumber aNumber, const std::string& aPeer, Instant aNow);

  /// Forgets the windows that have ended and returns what they suppressed.
  std::vector<Suppressed> EndWindows(Instant aNow);

private:
  struct Window
  {
    Instant mStart;
    std::uint32_t mWritten = 0;
    std::uint64_t mSuppressed = 0;
  };
  using Pair = std::pair<EventNumber, std::string>;

  Pair PairFor(EventNumber aNumber, const std::string& aPeer) const;

  std::map<Pair, Window> mWindows;
  /// No window ends before this instant.
  Instant mNextEnd{ Duration::max() };
};

} // namespace verbenachute
