#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <optional>

namespace verbenachute {

enum class DeparturePhase
{
  Serving,
  /// Not offered any more; callers that still come are served.
  Announced,
  /// Takes no new connections and finishes what it has.
  Closing,
  /// The process ends.
  Done,
};

/// The steps of a graceful stop. Callers keep addresses for a while after the
/// directory stops naming them, so the node serves on for that long.
class NodeDeparture
{
public:
  struct Settings
  {
    /// Time from the request to stop until the process is ended by force.
    Duration mGrace = seconds(6);
    /// How long callers are told to keep an address; some keep it longer.
    Duration mAddressValidity = seconds(1);
  };

  explicit NodeDeparture(const Settings& aSettings);

  void OnStop(Instant aNow);
  /// Work in hand: connections of callers and requests that run.
  [[nodiscard]] DeparturePhase Advance(std::size_t aConnections,
                                       std::size_t aRequests,
                                       Instant aNow);
  [[nodiscard]] DeparturePhase Phase() const { return mPhase; }

private:
  [[nodiscard]] Duration ServingTime() const;

  Settings mSettings;
  DeparturePhase mPhase = DeparturePhase::Serving;
  std::optional<Instant> mStopped;
};

} // namespace verbenachute
