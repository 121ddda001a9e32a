#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibObservation/EventCatalogue.h>
#include <LibObservation/EventRateLimiter.h>
#include <LibObservation/Logger.h>

#include <memory>
#include <ostream>

namespace verbenachute {

/// Writes each event as one line of JSON through Boost.Log:
/// `{"time":"2026-12-04T05:00:00.123Z","number":801,"event":"peer_lost",
/// "severity":"warning","node":"node-1","step":"membership","peer":"node-2",
/// "fields":{"age_ms":5}}`. Repeats are limited by EventRateLimiter.
class BoostLogger final : public Logger
{
public:
  struct Settings
  {
    NodeName mNode;
    /// Events below this severity are dropped.
    Severity mLowest = Severity::Info;
  };

  /// Writes to standard error. The clock outlives the logger.
  BoostLogger(Settings aSettings, const Clock& aClock);
  /// Writes to a stream that outlives the logger.
  BoostLogger(Settings aSettings, const Clock& aClock, std::ostream& aStream);
  ~BoostLogger() override;
  BoostLogger(const BoostLogger&) = delete;
  BoostLogger& operator=(const BoostLogger&) = delete;

  void Log(const LogEvent& aEvent) override;

  /// Reports the repeats that were suppressed in windows that have ended.
  /// Called from a timer and before the process ends.
  void ReportSuppressed();

private:
  class Sink;

  void Write(const LogEvent& aEvent);

  Settings mSettings;
  const Clock& mClock;
  EventRateLimiter mLimiter;
  std::unique_ptr<Sink> mSink;
};

} // namespace verbenachute
