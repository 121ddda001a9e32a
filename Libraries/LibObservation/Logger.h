#pragma once

#include <LibObservation/LogEvent.h>

namespace verbenachute {

/// Interface for logging events. Decision logic does not log: it returns
/// actions, and the code that executes the actions logs them.
class Logger
{
public:
  virtual ~Logger() = default;
  virtual void Log(const LogEvent& aEvent) = 0;
};

} // namespace verbenachute
