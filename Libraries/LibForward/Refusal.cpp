#include <LibForward/Refusal.h>

#include <LibCore/Verify.h>

namespace verbenachute {

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
    case RefusalReason::TargetsHeld:
      return "targets_held";
    case RefusalReason::Leaving:
      return "leaving";
    case RefusalReason::OverQuota:
      return "over_quota";
    case RefusalReason::QuotaUnknown:
      return "quota_unknown";
    case RefusalReason::KeyUndecided:
      return "key_undecided";
  }
  VERIFY(!"unknown reason");
}

} // namespace verbenachute
