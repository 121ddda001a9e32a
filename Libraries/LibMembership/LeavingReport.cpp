#include <LibMembership/LeavingReport.h>

#include <LibCore/Verify.h>

namespace verbenachute {

const char*
LeavingPhaseName(LeavingPhase aPhase)
{
  switch (aPhase) {
    case LeavingPhase::Serving:
      return "serving";
    case LeavingPhase::Announcing:
      return "announcing";
    case LeavingPhase::RunningOut:
      return "running_out";
    case LeavingPhase::HandingOver:
      return "handing_over";
    case LeavingPhase::Draining:
      return "draining";
    case LeavingPhase::Finished:
      return "finished";
  }
  VERIFY(!"unknown leaving phase");
}

int
ExitStatusOf(const LeavingReport& aReport)
{
  return aReport.mEnding == LeavingEnding::Graceful ? 0 : 1;
}

} // namespace verbenachute
