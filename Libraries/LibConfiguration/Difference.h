#pragma once

#include <optional>
#include <string>

namespace verbenachute {

enum class DifferenceKind
{
  TargetLabel,
  DomainLabel,
  Selector,
  Domain,
  Target,
  Policy,
};

/// One change made by an edit, for dry runs and approvals.
struct Difference
{
  DifferenceKind mKind = DifferenceKind::Target;
  /// Name of the target, failure domain, selector or steering rule.
  std::string mName;
  /// Label key; empty for other kinds.
  std::string mKey;
  /// Value before the edit; empty if it did not exist.
  std::optional<std::string> mBefore;
  /// Value after the edit; empty if it is removed.
  std::optional<std::string> mAfter;

  friend bool operator==(const Difference&, const Difference&) = default;
};

/// "target_label", "domain_label", "selector", "domain", "target", "policy".
[[nodiscard]] const char*
DifferenceKindName(DifferenceKind aKind);

/// One line for operators, such as "target t-1 label tier: gold -> none".
[[nodiscard]] std::string
DifferenceText(const Difference& aDifference);

} // namespace verbenachute
