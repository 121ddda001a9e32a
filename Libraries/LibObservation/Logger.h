#pragma once

#include <LibObservation/LogEvent.h>

namespace verbenachute {

/// Where the edges of the daemon report events. Decision logic logs nothing:
/// it returns actions, and who carries them out logs them.
class Logger
{
public:
  virtual ~Logger() = default;
  virtual void Log(const LogEvent& aEvent) = 0;
};

} // namespace verbenachute
