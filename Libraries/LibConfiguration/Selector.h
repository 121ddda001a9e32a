#pragma once

#include <LibConfiguration/LabelExpression.h>
#include <LibCore/Identifiers.h>

#include <string>
#include <vector>

namespace verbenachute {

/// Effect of a selector on the targets that it matches. If several match,
/// LeaveAlone overrides NoNewWork, which overrides ServeOnly.
enum class SelectorEffect
{
  /// They serve only the callers of the selector; with several selectors, only
  /// those that all of them list.
  ServeOnly,
  /// They take no new work.
  NoNewWork,
  /// They get no traffic at all, not even probes.
  LeaveAlone,
};

struct Selector
{
  std::string mName;
  LabelExpression mMatches;
  SelectorEffect mEffect = SelectorEffect::NoNewWork;
  /// Callers that may be served, ascending; empty unless ServeOnly.
  std::vector<CallerId> mCallers;

  friend bool operator==(const Selector&, const Selector&) = default;
};

/// "serve_only", "no_new_work" or "leave_alone".
[[nodiscard]] const char*
SelectorEffectName(SelectorEffect aEffect);
/// Reads what SelectorEffectName writes; anything else is InvalidInput.
[[nodiscard]] Result<SelectorEffect>
ParseSelectorEffect(std::string_view aText);

} // namespace verbenachute
