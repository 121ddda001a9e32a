#pragma once

#include <LibConfiguration/ConfigurationContent.h>
#include <LibConfiguration/ConfigurationView.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// The operators' configuration at one revision. It never changes; see
/// ConfigurationEditor for how a change makes the next one.
class Configuration final : public ConfigurationView
{
public:
  /// Why a target may or may not serve, rule by rule.
  struct Explanation
  {
    AdmittanceDecision mDecision;
    /// Labels by which selectors match: built-in, inherited and own.
    LabelSet mLabels;
    /// One line for each failure domain state and selector looked at.
    std::vector<std::string> mRules;
  };

  /// Checks that names refer to something and follow the rules; otherwise
  /// InvalidInput at the step Configuration.
  [[nodiscard]] static Result<std::shared_ptr<const Configuration>> Create(
    ConfigurationContent aContent);

  [[nodiscard]] Revision CurrentRevision() const override;
  [[nodiscard]] const TargetEntry* FindTarget(
    const TargetName& aTarget) const override;
  [[nodiscard]] const std::vector<TargetName>& TargetsOf(
    const ServiceName& aService) const override;
  [[nodiscard]] const std::vector<TargetName>& AllTargets() const override;
  [[nodiscard]] AdmittanceDecision MayTakeNewWork(
    const TargetName& aTarget,
    const CallerId& aCaller) const override;

  [[nodiscard]] const ConfigurationContent& Content() const { return mContent; }
  /// The labels by which selectors match the target; it must be registered.
  [[nodiscard]] LabelSet EffectiveLabels(const TargetName& aTarget) const;
  [[nodiscard]] Explanation Explain(const TargetName& aTarget,
                                    const CallerId& aCaller) const;

  /// Whom a target serves, whoever asks.
  enum class Openness
  {
    Closed,
    SomeCallers,
    AllCallers,
  };
  [[nodiscard]] Openness OpennessOf(const TargetName& aTarget) const;

private:
  /// What the rules say of one target, worked out at its first use.
  struct Standing
  {
    Admittance mAdmittance = Admittance::Admitted;
    std::string mReason;
    std::vector<const Selector*> mServeOnly;
  };

  explicit Configuration(ConfigurationContent aContent);

  [[nodiscard]] const Standing& StandingOf(const TargetName& aTarget) const;
  [[nodiscard]] Standing WorkOutStanding(const TargetEntry& aTarget) const;

  const ConfigurationContent mContent;
  // All use is on the one loop of the process, so the cache needs no lock.
  mutable std::vector<std::optional<Standing>> mStandings;
};

} // namespace verbenachute
