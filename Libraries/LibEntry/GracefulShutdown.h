#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <optional>

namespace verbenachute {

enum class GracefulShutdownPhase
{
  Serving,
  /// The directory no longer advertises the node; callers that still connect
  /// are served.
  Unadvertised,
  /// Takes no new connections and finishes its running requests.
  Closing,
  /// The process may exit.
  Done,
};

/// Phases of a graceful shutdown. Callers keep using addresses for a while
/// after the directory stops advertising them, so the node keeps serving for
/// that long.
class GracefulShutdown
{
public:
  struct Settings
  {
    /// Time from the request to stop until the process is killed.
    Duration mGrace = seconds(6);
    /// How long callers are told to keep an address; some keep it for longer.
    Duration mAddressValidity = seconds(1);
  };

  explicit GracefulShutdown(const Settings& aSettings);

  void OnStop(Instant aNow);
  /// Advances to the phase that is due and returns it. aConnections and
  /// aRequests are the open connections of callers and the running requests.
  [[nodiscard]] GracefulShutdownPhase Advance(std::size_t aConnections,
                                              std::size_t aRequests,
                                              Instant aNow);
  [[nodiscard]] GracefulShutdownPhase Phase() const { return mPhase; }
  /// When the process exits at the latest; empty before OnStop.
  [[nodiscard]] std::optional<Instant> LatestExit() const;

private:
  [[nodiscard]] Duration ServingTime() const;

  Settings mSettings;
  GracefulShutdownPhase mPhase = GracefulShutdownPhase::Serving;
  std::optional<Instant> mStopTime;
};

} // namespace verbenachute
