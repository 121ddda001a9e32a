#include <LibForward/ForwardAction.h>

#include <LibCore/Verify.h>

namespace verbenachute {

void
ForwardSummary::AddMissing(const ServiceName& aService)
{
  mMissingServices += (mMissingServices.empty() ? "" : " ") + aService.value();
}

const char*
FailureReasonName(FailureReason aReason)
{
  switch (aReason) {
    case FailureReason::AttemptsFailed:
      return "attempts_failed";
    case FailureReason::DeadlinePassed:
      return "deadline_passed";
  }
  VERIFY(!"unknown reason");
}

} // namespace verbenachute
