#include <LibMembership/ProbeSchedule.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>
#include <bit>

namespace verbenachute {

namespace {

std::size_t
CellNumber(const NodeName& aNode, std::size_t aCells)
{
  return StableHash(aNode.value()) & (aCells - 1);
}

} // namespace

ProbeSchedule::ProbeSchedule(std::size_t aCellSize,
                             std::size_t aFarProbes,
                             std::uint64_t aSeed)
  : mCellSize(aCellSize)
  , mFarProbes(aFarProbes)
  , mRandom(aSeed)
{
}

std::vector<NodeName>
ProbeSchedule::CellOf(const NodeName& aSelf,
                      const std::vector<NodeName>& aNear) const
{
  if (aNear.size() < mCellSize) {
    return aNear;
  }
  // The number of cells is a power of two, so that it seldom changes and a
  // change only splits or joins cells. They are at most half full on average,
  // so that few exceed their size by chance.
  const std::size_t cells = std::bit_ceil(2 * (aNear.size() + 1) / mCellSize);
  const std::size_t own = CellNumber(aSelf, cells);
  std::vector<NodeName> cell;
  for (const NodeName& node : aNear) {
    if (CellNumber(node, cells) == own) {
      cell.push_back(node);
    }
  }
  return cell;
}

std::vector<NodeName>
ProbeSchedule::Next(const NodeName& aSelf,
                    const std::vector<NodeName>& aNear,
                    const std::vector<NodeName>& aAll)
{
  const std::vector<NodeName> cell = CellOf(aSelf, aNear);
  std::vector<NodeName> probed = cell;
  if (cell.size() == aAll.size()) {
    return probed;
  }
  for (std::size_t i = 0; i < mFarProbes; ++i) {
    if (mTurns.empty()) {
      Refill(aAll);
    }
    const NodeName node = mTurns.back();
    mTurns.pop_back();
    if (std::ranges::binary_search(aAll, node) &&
        !std::ranges::binary_search(cell, node)) {
      probed.push_back(node);
    }
  }
  return probed;
}

void
ProbeSchedule::Refill(const std::vector<NodeName>& aAll)
{
  mTurns = aAll;
  std::ranges::shuffle(mTurns, mRandom);
}

} // namespace verbenachute
