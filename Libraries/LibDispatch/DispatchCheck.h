#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <LibCore/SubAnswer.h>
#include <LibCore/Time.h>
#include <LibDispatch/DispatchSettings.h>
#include <LibDispatch/PoisonList.h>
#include <LibDispatch/TargetLane.h>
#include <LibDispatch/Work.h>
#include <LibLease/LeaseAuthority.h>

#include <memory>
#include <optional>

namespace verbenachute {

/// Whether a probe may be sent to a target.
enum class ProbePermission
{
  Allowed,
  Denied,
};

/// The conditions under which a sub-query may be sent at this moment, apart
/// from free slots. Nothing of a refused sub-query has been sent, so
/// each refusal says "not run".
class DispatchCheck
{
public:
  /// The authority and the list outlive the check.
  DispatchCheck(const DispatchSettings& aSettings,
                const LeaseAuthority& aAuthority,
                const PoisonList& aPoison);

  void OnConfiguration(std::shared_ptr<const ConfigurationView> aView);
  [[nodiscard]] const ConfigurationView* Configuration() const
  {
    return mConfiguration.get();
  }

  /// Why the work may not be sent now, if so.
  [[nodiscard]] std::optional<SubFailure> Refusal(const Work& aWork,
                                                  const TargetLane& aLane,
                                                  Instant aNow) const;
  /// Why it is of no use to let the work wait, if so. aUsualService is the
  /// usual service time, as far as it is known.
  [[nodiscard]] std::optional<SubFailure> WaitRefusal(
    const Work& aWork,
    const TargetLane& aLane,
    std::optional<Duration> aUsualService) const;
  [[nodiscard]] ProbePermission MayProbe(const TargetLane& aLane,
                                         Instant aNow) const;

private:
  [[nodiscard]] std::optional<SubFailure> LeaseRefusal(const Work& aWork,
                                                       const TargetLane& aLane,
                                                       Instant aNow) const;
  [[nodiscard]] std::optional<SubFailure> PoisonRefusal(const Work& aWork,
                                                        Instant aNow) const;
  [[nodiscard]] std::optional<SubFailure> ConfigurationRefusal(
    const Work& aWork) const;
  [[nodiscard]] std::optional<SubFailure> AdmittanceRefusal(
    const Work& aWork) const;
  [[nodiscard]] std::optional<SubFailure> TargetRefusal(
    const Work& aWork,
    const TargetLane& aLane) const;

  DispatchSettings mSettings;
  const LeaseAuthority& mAuthority;
  const PoisonList& mPoison;
  std::shared_ptr<const ConfigurationView> mConfiguration;
};

/// A failure at the gate of work of which nothing has been sent.
[[nodiscard]] SubFailure
NotRunFailure(ErrorCode aCode,
              const TargetName& aTarget,
              const std::string& aMessage);

} // namespace verbenachute
