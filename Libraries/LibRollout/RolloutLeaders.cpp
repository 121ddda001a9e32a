#include <LibRollout/RolloutLeaders.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>

namespace verbenachute {

std::vector<NodeName>
RolloutLeaders(const ServiceName& aService,
               const std::vector<NodeName>& aNodes,
               std::size_t aCount)
{
  std::vector<NodeName> leaders(std::min(aCount, aNodes.size()));
  const auto precedes = [&](const NodeName& aLeft, const NodeName& aRight) {
    const std::uint64_t left =
      RendezvousWeight(aService.value(), aLeft.value());
    const std::uint64_t right =
      RendezvousWeight(aService.value(), aRight.value());
    return left != right ? left > right : aLeft < aRight;
  };
  std::partial_sort_copy(
    aNodes.begin(), aNodes.end(), leaders.begin(), leaders.end(), precedes);
  return leaders;
}

} // namespace verbenachute
