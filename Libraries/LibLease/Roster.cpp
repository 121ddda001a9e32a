#include <LibLease/Roster.h>

#include <algorithm>

namespace verbenachute {

std::size_t
Roster::Majority() const
{
  return mVoters.size() / 2 + 1;
}

bool
Roster::Contains(const NodeName& aNode) const
{
  return std::find(mVoters.begin(), mVoters.end(), aNode) != mVoters.end();
}

} // namespace verbenachute
