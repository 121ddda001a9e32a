#pragma once

#include <LibConfiguration/TargetEntry.h>
#include <LibCore/Identifiers.h>

#include <string>
#include <vector>

namespace verbenachute {

enum class Admittance
{
  Admitted,
  /// The target serves other callers only.
  NotForCaller,
  /// The target or its failure domain takes no new work.
  NoNewWork,
  /// The target must get no traffic at all, not even probes.
  LeftAlone,
  UnknownTarget,
};

/// Whether a target may take new work of a caller, and which rule says so.
struct AdmittanceDecision
{
  Admittance mAdmittance = Admittance::UnknownTarget;
  /// Name of the selector or failure domain that decided.
  std::string mReason;
};

/// The operators' configuration at one revision. Views are immutable.
class ConfigurationView
{
public:
  virtual ~ConfigurationView() = default;

  [[nodiscard]] virtual Revision CurrentRevision() const = 0;
  /// The entry of a target, or null if it is not registered.
  [[nodiscard]] virtual const TargetEntry* FindTarget(
    const TargetName& aTarget) const = 0;
  /// All targets of a service, in ascending order of their names.
  [[nodiscard]] virtual const std::vector<TargetName>& TargetsOf(
    const ServiceName& aService) const = 0;
  /// All targets in ascending order of their names.
  [[nodiscard]] virtual const std::vector<TargetName>& AllTargets() const = 0;
  [[nodiscard]] virtual AdmittanceDecision MayTakeNewWork(
    const TargetName& aTarget,
    const CallerId& aCaller) const = 0;
};

} // namespace verbenachute
