#include <LibConfiguration/Selector.h>

#include <LibCore/Verify.h>

namespace verbenachute {

const char*
SelectorEffectName(SelectorEffect aEffect)
{
  switch (aEffect) {
    case SelectorEffect::ServeOnly:
      return "serve_only";
    case SelectorEffect::NoNewWork:
      return "no_new_work";
    case SelectorEffect::LeaveAlone:
      return "leave_alone";
  }
  VERIFY(!"unknown selector effect");
}

Result<SelectorEffect>
ParseSelectorEffect(std::string_view aText)
{
  for (const SelectorEffect effect : { SelectorEffect::ServeOnly,
                                       SelectorEffect::NoNewWork,
                                       SelectorEffect::LeaveAlone }) {
    if (aText == SelectorEffectName(effect)) {
      return effect;
    }
  }
  return Error{ Step::Parse,
                ErrorCode::InvalidInput,
                "",
                "'" + std::string(aText) +
                  "' is no effect: serve_only, no_new_work or leave_alone" };
}

} // namespace verbenachute
