#include <LibMembership/Member.h>

#include <LibCore/Verify.h>

namespace verbenachute {

const char*
MemberStateName(MemberState aState)
{
  switch (aState) {
    case MemberState::Unheard:
      return "unheard";
    case MemberState::Alive:
      return "alive";
    case MemberState::Leaving:
      return "leaving";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Dead:
      return "dead";
  }
  VERIFY(!"unknown member state");
}

} // namespace verbenachute
