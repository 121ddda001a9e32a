#include <LibForward/ForwardAction.h>

#include <LibCore/Verify.h>

namespace verbenachute {

void
ForwardSummary::AddMissing(const ServiceName& aService)
{
  mMissing += (mMissing.empty() ? "" : " ") + aService.value();
}

const char*
RefusalReasonName(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::NoPlan:
      return "no_plan";
    case RefusalReason::NoTarget:
      return "no_target";
    case RefusalReason::Overloaded:
      return "overloaded";
    case RefusalReason::Declined:
      return "declined";
    case RefusalReason::Poisonous:
      return "poisonous";
    case RefusalReason::TooLate:
      return "too_late";
  }
  VERIFY(!"unknown reason");
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
