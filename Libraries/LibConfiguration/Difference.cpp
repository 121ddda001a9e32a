#include <LibConfiguration/Difference.h>

#include <LibCore/Verify.h>

namespace verbenachute {

const char*
DifferenceKindName(DifferenceKind aKind)
{
  switch (aKind) {
    case DifferenceKind::TargetLabel:
      return "target_label";
    case DifferenceKind::DomainLabel:
      return "domain_label";
    case DifferenceKind::Selector:
      return "selector";
    case DifferenceKind::Domain:
      return "domain";
    case DifferenceKind::Target:
      return "target";
    case DifferenceKind::Policy:
      return "policy";
  }
  VERIFY(!"unknown kind of difference");
}

std::string
DifferenceText(const Difference& aDifference)
{
  std::string text = std::string(DifferenceKindName(aDifference.mKind)) + " " +
                     aDifference.mName;
  if (!aDifference.mKey.empty()) {
    text += " " + aDifference.mKey;
  }
  return text + ": " + aDifference.mBefore.value_or("none") + " -> " +
         aDifference.mAfter.value_or("none");
}

} // namespace verbenachute
