#pragma once

#include <LibCore/Error.h>
#include <LibCore/Strong.h>

#include <set>
#include <string>
#include <string_view>

namespace verbenachute {

using OperatorName = Strong<struct OperatorNameTag, std::string>;

/// The kind of intent that an edit touches.
enum class SteeringScope
{
  Labels,
  Selectors,
  Domains,
  Targets,
  Policy,
};

/// Lets named operators or automation make edits without approval. "*"
/// stands for all operators, label keys or failure domains.
struct SteeringRule
{
  std::string mName;
  std::set<std::string> mOperators;
  std::set<SteeringScope> mScopes;
  /// Label keys that edits of labels may touch.
  std::set<std::string> mLabelKeys;
  /// Failure domains whose labels, targets and state edits may touch. An
  /// edit of selectors or policy touches all of them.
  std::set<std::string> mDomains;

  friend bool operator==(const SteeringRule&, const SteeringRule&) = default;
};

/// "labels", "selectors", "domains", "targets" or "policy".
[[nodiscard]] const char*
SteeringScopeName(SteeringScope aScope);
/// Reads what SteeringScopeName writes; anything else is InvalidInput.
[[nodiscard]] Result<SteeringScope>
ParseSteeringScope(std::string_view aText);

} // namespace verbenachute
