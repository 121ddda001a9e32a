#include <LibMembership/RumourQueue.h>

#include <algorithm>

namespace verbenachute {

RumourQueue::RumourQueue(std::size_t aPerMessage, std::size_t aRepeats)
  : mPerMessage(aPerMessage)
  , mRepeats(aRepeats)
{
}

void
RumourQueue::Add(const MemberRumour& aRumour)
{
  mKept[aRumour.mMember.mIdentity.mName] = Kept{ aRumour };
  if (mKept.size() > kMaxKept) {
    DropMostSent();
  }
}

std::vector<MemberRumour>
RumourQueue::Next()
{
  std::vector<std::map<NodeName, Kept>::iterator> order;
  for (auto it = mKept.begin(); it != mKept.end(); ++it) {
    order.push_back(it);
  }
  const std::size_t count = std::min(mPerMessage, order.size());
  std::ranges::partial_sort(order,
                            order.begin() + static_cast<std::ptrdiff_t>(count),
                            {},
                            [](auto aIt) { return aIt->second.mSent; });
  std::vector<MemberRumour> rumours;
  for (std::size_t i = 0; i < count; ++i) {
    rumours.push_back(order[i]->second.mRumour);
    if (++order[i]->second.mSent >= mRepeats) {
      mKept.erase(order[i]);
    }
  }
  return rumours;
}

void
RumourQueue::DropMostSent()
{
  mKept.erase(std::ranges::max_element(
    mKept, {}, [](const auto& aPair) { return aPair.second.mSent; }));
}

} // namespace verbenachute
