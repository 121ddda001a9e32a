#include <LibEntry/AdvertisementPolicy.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>
#include <tuple>

namespace verbenachute {

namespace {

// Maximum CPU usage of the advertised nodes, in percent; the remainder is for
// bursts and for the loss of some of the nodes.
constexpr std::uint64_t kMaxUsagePercent = 30;
// The window of 10 s of the limits that nodes share, and 1 s for the
// propagation of a node's status.
constexpr Duration kAdvertisedLifetime = seconds(11);

std::uint64_t
TieBreakHash(const NodeStatus& aNode)
{
  return StableHash(aNode.mIdentity.mName.value());
}

/// Sorts the nodes by descending CPU. Nodes with the same CPU alternate between
/// the failure domains.
std::vector<NodeStatus>
InterleavedByDomain(std::vector<NodeStatus> aNodes)
{
  std::sort(aNodes.begin(),
            aNodes.end(),
            [](const NodeStatus& aOne, const NodeStatus& aOther) {
              return std::tuple(aOther.mCpuMillicores, TieBreakHash(aOne)) <
                     std::tuple(aOne.mCpuMillicores, TieBreakHash(aOther));
            });
  std::map<std::pair<FailureDomain, std::uint32_t>, std::size_t> seen;
  std::vector<std::pair<std::size_t, NodeStatus>> turns;
  for (NodeStatus& node : aNodes) {
    const std::size_t turn = seen[{ node.mDomain, node.mCpuMillicores }]++;
    turns.emplace_back(turn, std::move(node));
  }
  std::stable_sort(
    turns.begin(), turns.end(), [](const auto& aOne, const auto& aOther) {
      return std::tuple(aOther.second.mCpuMillicores, aOne.first) <
             std::tuple(aOne.second.mCpuMillicores, aOther.first);
    });
  std::vector<NodeStatus> ordered;
  ordered.reserve(turns.size());
  for (std::pair<std::size_t, NodeStatus>& turn : turns) {
    ordered.push_back(std::move(turn.second));
  }
  return ordered;
}

} // namespace

std::vector<NodeStatus>
AdvertisementPolicy::Choose(std::vector<NodeStatus> aServing)
{
  if (aServing.size() <= kSmallFleetNodes) {
    return aServing;
  }
  std::uint64_t used = 0;
  for (const NodeStatus& node : aServing) {
    used += node.mUsedMillicores;
  }
  std::vector<NodeStatus> ordered = InterleavedByDomain(std::move(aServing));
  std::uint64_t capacity = 0;
  std::size_t count = 0;
  while (count < ordered.size() && (count < kMinimumAdvertisedNodes ||
                                    capacity * kMaxUsagePercent < used * 100)) {
    capacity += ordered[count].mCpuMillicores;
    ++count;
  }
  ordered.resize(count);
  return ordered;
}

void
RecentlyAdvertisedNodes::OnAdvertised(
  const std::vector<NodeStatus>& aAdvertised,
  Instant aNow)
{
  for (const NodeStatus& node : aAdvertised) {
    mLastAdvertised[node.mIdentity.mName] = aNow;
  }
  std::erase_if(mLastAdvertised, [&](const auto& aEntry) {
    return aNow - aEntry.second > kAdvertisedLifetime;
  });
}

void
RecentlyAdvertisedNodes::OnRegistered(const std::vector<NodeName>& aNodes,
                                      Instant aNow)
{
  const std::size_t count =
    std::min(aNodes.size(), AdvertisementPolicy::kSmallFleetNodes);
  for (std::size_t i = 0; i < count; ++i) {
    mLastAdvertised[aNodes[i]] = aNow;
  }
}

std::vector<NodeName>
RecentlyAdvertisedNodes::Current(Instant aNow) const
{
  std::vector<NodeName> nodes;
  for (const auto& entry : mLastAdvertised) {
    if (aNow - entry.second <= kAdvertisedLifetime) {
      nodes.push_back(entry.first);
    }
  }
  return nodes;
}

} // namespace verbenachute
