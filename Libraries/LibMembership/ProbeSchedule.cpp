#include <LibMembership/ProbeSchedule.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>

namespace verbenachute {

namespace {

// The cell with the highest weight for a node. A further cell takes over
// only some nodes of each of the others.
std::size_t
CellNumber(const NodeName& aNode, std::size_t aCells)
{
  std::size_t best = 0;
  std::uint64_t bestWeight = 0;
  for (std::size_t cell = 0; cell < aCells; ++cell) {
    const std::uint64_t weight =
      RendezvousWeight(aNode.value(), std::to_string(cell));
    if (weight >= bestWeight) {
      best = cell;
      bestWeight = weight;
    }
  }
  return best;
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
  // Cells are half full on average, so that few exceed their size by chance.
  const std::size_t cells = 2 * (aNear.size() + 1) / mCellSize;
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
