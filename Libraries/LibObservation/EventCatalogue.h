#pragma once

#include <LibObservation/EventNumber.h>

#include <optional>
#include <span>
#include <string_view>

namespace verbenachute {

/// Severity of an event, in ascending order.
enum class Severity
{
  Debug,
  Info,
  Warning,
  Error,
};

/// One row of the catalogue in docs/EVENTS.md.
struct EventDescription
{
  EventNumber mNumber;
  const char* mName;
  Severity mSeverity;
  const char* mDescription;
};

/// All events that the daemon can log, in ascending order of their numbers.
[[nodiscard]] std::span<const EventDescription>
EventCatalogue();

/// The description of an event. The number must be in the catalogue; any other
/// number ends the process.
[[nodiscard]] const EventDescription&
DescriptionOf(EventNumber aNumber);

/// "debug", "info", "warning" or "error".
[[nodiscard]] const char*
SeverityName(Severity aSeverity);

/// The severity with the given name; nothing if the name is unknown.
[[nodiscard]] std::optional<Severity>
SeverityNamed(std::string_view aName);

} // namespace verbenachute
