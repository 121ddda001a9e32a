#pragma once

#include <LibObservation/EventNumber.h>

#include <optional>
#include <span>
#include <string_view>

namespace verbenachute {

/// How much an event asks of the people who run the system.
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

/// Every event that the daemon can log, by ascending number.
[[nodiscard]] std::span<const EventDescription>
EventCatalogue();

[[nodiscard]] const EventDescription&
DescriptionOf(EventNumber aNumber);

/// "debug", "info", "warning" or "error".
[[nodiscard]] const char*
SeverityName(Severity aSeverity);

/// The severity of that name; nothing if the name is unknown.
[[nodiscard]] std::optional<Severity>
SeverityNamed(std::string_view aName);

} // namespace verbenachute
