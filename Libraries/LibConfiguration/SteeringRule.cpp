#include <LibConfiguration/SteeringRule.h>

#include <LibCore/Verify.h>

namespace verbenachute {

const char*
SteeringScopeName(SteeringScope aScope)
{
  switch (aScope) {
    case SteeringScope::Labels:
      return "labels";
    case SteeringScope::Selectors:
      return "selectors";
    case SteeringScope::Domains:
      return "domains";
    case SteeringScope::Targets:
      return "targets";
    case SteeringScope::Policy:
      return "policy";
  }
  VERIFY(!"unknown steering scope");
}

Result<SteeringScope>
ParseSteeringScope(std::string_view aText)
{
  for (const SteeringScope scope : { SteeringScope::Labels,
                                     SteeringScope::Selectors,
                                     SteeringScope::Domains,
                                     SteeringScope::Targets,
                                     SteeringScope::Policy }) {
    if (aText == SteeringScopeName(scope)) {
      return scope;
    }
  }
  return Error{ Step::Parse,
                ErrorCode::InvalidInput,
                "",
                "'" + std::string(aText) +
                  "' is no scope: labels, selectors, domains, targets or "
                  "policy" };
}

} // namespace verbenachute
