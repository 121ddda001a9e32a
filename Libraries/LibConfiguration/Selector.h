#pragma once

#include <LibConfiguration/LabelExpression.h>
#include <LibCore/Identifiers.h>

#include <string>
#include <vector>

namespace verbenachute {

/// What a selector does to the targets that it matches. Where several match,
/// LeaveAlone goes before NoNewWork, and that before ServeOnly.
enum class SelectorEffect
{
  /// They serve only the callers of the selector; with several selectors,
  /// only the callers that stand in all of them.
  ServeOnly,
  /// They take no new work.
  NoNewWork,
  /// They get no traffic at all, probes included.
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
