#include <LibDispatch/SubQueryQueue.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

SubQueryQueue::SubQueryQueue(std::size_t aLimit)
  : mLimit(aLimit)
{
}

std::optional<DispatchId>
SubQueryQueue::Push(DispatchId aId, std::uint32_t aWeight)
{
  VERIFY(!mPlaces.contains(aId));
  const Place place{ aWeight, ++mSequence };
  mOrder[place] = aId;
  mPlaces[aId] = place;
  if (mOrder.size() <= mLimit) {
    return std::nullopt;
  }
  const DispatchId shed = std::prev(mOrder.end())->second;
  Remove(shed);
  return shed;
}

std::optional<DispatchId>
SubQueryQueue::First() const
{
  if (mOrder.empty()) {
    return std::nullopt;
  }
  return mOrder.begin()->second;
}

void
SubQueryQueue::Remove(DispatchId aId)
{
  const auto place = mPlaces.find(aId);
  if (place == mPlaces.end()) {
    return;
  }
  mOrder.erase(place->second);
  mPlaces.erase(place);
}

std::size_t
SubQueryQueue::Ahead(std::uint32_t aWeight) const
{
  const auto ahead =
    std::count_if(mOrder.begin(), mOrder.end(), [aWeight](const auto& aEntry) {
      return aEntry.first.mWeight >= aWeight;
    });
  return static_cast<std::size_t>(ahead);
}

std::vector<DispatchId>
SubQueryQueue::All() const
{
  std::vector<DispatchId> ids;
  ids.reserve(mOrder.size());
  for (const auto& [place, id] : mOrder) {
    ids.push_back(id);
  }
  return ids;
}

bool
SubQueryQueue::IsBefore::operator()(const Place& aOne,
                                    const Place& aOther) const
{
  if (aOne.mWeight != aOther.mWeight) {
    return aOne.mWeight > aOther.mWeight;
  }
  return aOne.mSequence < aOther.mSequence;
}

} // namespace verbenachute
