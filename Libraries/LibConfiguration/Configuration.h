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
  /// The rules that decide whether a target may serve, for operators.
  struct Explanation
  {
    AdmittanceDecision mDecision;
    /// Labels by which selectors match: built-in, inherited and own.
    LabelSet mLabels;
    /// One line for each failure domain state and selector that was evaluated.
    std::vector<std::string> mRules;
  };

  /// Fails with InvalidInput at step Configuration if a name is malformed or
  /// refers to nothing.
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

  /// Which callers a target may serve.
  enum class Availability
  {
    Closed,
    SomeCallers,
    AllCallers,
  };
  [[nodiscard]] Availability AvailabilityOf(const TargetName& aTarget) const;

private:
  /// Result of the rules for one target, computed on first use.
  struct Evaluation
  {
    Admittance mAdmittance = Admittance::Admitted;
    std::string mReason;
    std::vector<const Selector*> mServeOnly;
  };

  explicit Configuration(ConfigurationContent aContent);

  [[nodiscard]] const Evaluation& EvaluationOf(const TargetName& aTarget) const;
  [[nodiscard]] Evaluation Evaluate(const TargetEntry& aTarget) const;

  const ConfigurationContent mContent;
  // The process has one thread, so the cache needs no lock.
  mutable std::vector<std::optional<Evaluation>> mEvaluations;
};

} // namespace verbenachute
