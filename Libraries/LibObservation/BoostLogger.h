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
/// "fields":{"age_ms":5}}`. EventRateLimiter limits repeated events.
class BoostLogger final : public Logger
{
public:
  struct Settings
  {
    NodeName mNode;
    /// Events below this severity are dropped.
    Severity mMinimumSeverity = Severity::Info;
  };

  /// Writes to standard error. The clock must outlive the logger.
  BoostLogger(Settings aSettings, const Clock& aClock);
  /// Writes to a stream; the stream and the clock must outlive the logger.
  BoostLogger(Settings aSettings, const Clock& aClock, std::ostream& aStream);
  ~BoostLogger() override;
  BoostLogger(const BoostLogger&) = delete;
  BoostLogger& operator=(const BoostLogger&) = delete;

  void Log(const LogEvent& aEvent) override;

  /// Logs the numbers of events that were suppressed in windows that have
  /// ended. Called from a timer and before the process exits.
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
