#include <LibEntry/OfferPolicy.h>

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
constexpr Duration kSenderLifetime = seconds(11);

std::uint64_t
TieBreakHash(const NodeNews& aNode)
{
  return StableHash(aNode.mIdentity.mName.value());
}

/// Sorts the nodes by descending CPU. Nodes with the same CPU alternate between
/// the failure domains.
std::vector<NodeNews>
InterleavedByDomain(std::vector<NodeNews> aNodes)
{
  std::sort(aNodes.begin(),
            aNodes.end(),
            [](const NodeNews& aOne, const NodeNews& aOther) {
              return std::tuple(aOther.mPower, TieBreakHash(aOne)) <
                     std::tuple(aOne.mPower, TieBreakHash(aOther));
            });
  std::map<std::pair<FailureDomain, std::uint32_t>, std::size_t> seen;
  std::vector<std::pair<std::size_t, NodeNews>> turns;
  for (NodeNews& node : aNodes) {
    const std::size_t turn = seen[{ node.mDomain, node.mPower }]++;
    turns.emplace_back(turn, std::move(node));
  }
  std::stable_sort(
    turns.begin(), turns.end(), [](const auto& aOne, const auto& aOther) {
      return std::tuple(aOther.second.mPower, aOne.first) <
             std::tuple(aOne.second.mPower, aOther.first);
    });
  std::vector<NodeNews> ordered;
  ordered.reserve(turns.size());
  for (std::pair<std::size_t, NodeNews>& turn : turns) {
    ordered.push_back(std::move(turn.second));
  }
  return ordered;
}

} // namespace

std::vector<NodeNews>
OfferPolicy::Choose(std::vector<NodeNews> aServing)
{
  if (aServing.size() <= kSmallFleetNodes) {
    return aServing;
  }
  std::uint64_t used = 0;
  for (const NodeNews& node : aServing) {
    used += node.mUsed;
  }
  std::vector<NodeNews> ordered = InterleavedByDomain(std::move(aServing));
  std::uint64_t power = 0;
  std::size_t count = 0;
  while (count < ordered.size() &&
         (count < kCarriers || power * kMaxUsagePercent < used * 100)) {
    power += ordered[count].mPower;
    ++count;
  }
  ordered.resize(count);
  return ordered;
}

void
SenderWatch::OnNamed(const std::vector<NodeNews>& aAdvertised, Instant aNow)
{
  for (const NodeNews& node : aAdvertised) {
    mLastAdvertised[node.mIdentity.mName] = aNow;
  }
  std::erase_if(mLastAdvertised, [&](const auto& aEntry) {
    return aNow - aEntry.second > kSenderLifetime;
  });
}

void
SenderWatch::OnRegistered(const std::vector<NodeName>& aNodes, Instant aNow)
{
  const std::size_t count =
    std::min(aNodes.size(), OfferPolicy::kSmallFleetNodes);
  for (std::size_t i = 0; i < count; ++i) {
    mLastAdvertised[aNodes[i]] = aNow;
  }
}

std::vector<NodeName>
SenderWatch::Senders(Instant aNow) const
{
  std::vector<NodeName> senders;
  for (const auto& entry : mLastAdvertised) {
    if (aNow - entry.second <= kSenderLifetime) {
      senders.push_back(entry.first);
    }
  }
  return senders;
}

} // namespace verbenachute
