#pragma once

#include <LibCore/Error.h>
#include <LibCore/Strong.h>

#include <set>
#include <string>
#include <string_view>

namespace verbenachute {

using OperatorName = Strong<struct OperatorNameTag, std::string>;

/// The part of the configuration that an edit affects.
enum class SteeringScope
{
  Labels,
  Selectors,
  Domains,
  Targets,
  Policy,
};

/// Allows the named operators to make edits without approval. "*" means all
/// operators, label keys or failure domains.
struct SteeringRule
{
  std::string mName;
  std::set<std::string> mOperators;
  std::set<SteeringScope> mScopes;
  /// Label keys that edits of labels may affect.
  std::set<std::string> mLabelKeys;
  /// Failure domains whose labels, targets and state edits may affect. An edit
  /// of selectors or policy affects all of them.
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
