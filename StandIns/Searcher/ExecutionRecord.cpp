#include "ExecutionRecord.h"

#include <LibCore/Verify.h>

namespace verbenachute::standins {

const char*
EndingName(Ending aEnding)
{
  switch (aEnding) {
    case Ending::Running:
      return "running";
    case Ending::Answered:
      return "answered";
    case Ending::DeadlinePassed:
      return "deadline_passed";
    case Ending::Cancelled:
      return "cancelled";
    case Ending::Crashed:
      return "crashed";
  }
  VERIFY(!"unknown ending");
}

} // namespace verbenachute::standins
