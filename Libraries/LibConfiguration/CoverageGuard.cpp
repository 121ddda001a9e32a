#include <LibConfiguration/CoverageGuard.h>

#include <algorithm>

namespace verbenachute {

namespace {

using Availability = Configuration::Availability;

Availability
BestOpenness(const Configuration& aConfiguration,
             const std::vector<TargetName>& aTargets)
{
  Availability best = Availability::Closed;
  for (const TargetName& target : aTargets) {
    if (best == Availability::AllCallers) {
      break;
    }
    if (aConfiguration.FindTarget(target)) {
      best = std::max(best, aConfiguration.AvailabilityOf(target));
    }
  }
  return best;
}

Result<Success>
CheckGroup(const std::string& aName,
           const Configuration& aBefore,
           const std::vector<TargetName>& aTargetsBefore,
           const Configuration& aAfter,
           const std::vector<TargetName>& aTargetsAfter)
{
  const Availability after = BestOpenness(aAfter, aTargetsAfter);
  if (after >= BestOpenness(aBefore, aTargetsBefore)) {
    return Success{};
  }
  return Error{ Step::Configuration,
                ErrorCode::Conflict,
                "",
                aName + " would be left with no target for " +
                  (after == Availability::Closed ? "any caller"
                                                 : "callers that no selector "
                                                   "names") +
                  "; override to do so all the same" };
}

} // namespace

Result<Success>
CheckCoverageKept(const Configuration& aBefore,
                  const Configuration& aAfter,
                  const std::vector<CoverageGroup>& aGroups)
{
  for (const auto& [service, targets] :
       aBefore.Content().mTargets->Services()) {
    Result<Success> kept = CheckGroup("service " + service.value(),
                                      aBefore,
                                      targets,
                                      aAfter,
                                      aAfter.TargetsOf(service));
    if (IsError(kept)) {
      return kept;
    }
  }
  for (const CoverageGroup& group : aGroups) {
    Result<Success> kept =
      CheckGroup(group.mName, aBefore, group.mTargets, aAfter, group.mTargets);
    if (IsError(kept)) {
      return kept;
    }
  }
  return Success{};
}

} // namespace verbenachute
