#pragma once

#include <LibConfiguration/ConfigurationView.h>

#include <map>
#include <string>
#include <vector>

namespace verbenachute {

/// A configuration with targets of one service, whose admittance tests set.
class FakeConfiguration final : public ConfigurationView
{
public:
  [[nodiscard]] Revision CurrentRevision() const override { return mRevision; }
  [[nodiscard]] const TargetEntry* FindTarget(
    const TargetName& /*aTarget*/) const override
  {
    return nullptr;
  }
  [[nodiscard]] const std::vector<TargetName>& TargetsOf(
    const ServiceName& aService) const override
  {
    return aService == mService ? mTargets : mNone;
  }
  [[nodiscard]] const std::vector<TargetName>& AllTargets() const override
  {
    return mTargets;
  }
  [[nodiscard]] AdmittanceDecision MayTakeNewWork(
    const TargetName& aTarget,
    const CallerId& /*aCaller*/) const override
  {
    const auto decided = mAdmittances.find(aTarget);
    return { decided == mAdmittances.end() ? Admittance::Admitted
                                           : decided->second,
             "" };
  }

  Revision mRevision{ 1 };
  ServiceName mService{ "consulta-campo" };
  std::vector<TargetName> mTargets;
  std::map<TargetName, Admittance> mAdmittances;

private:
  std::vector<TargetName> mNone;
};

} // namespace verbenachute
