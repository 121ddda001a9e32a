#include <LibEntry/OfferPolicy.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>
#include <tuple>

namespace verbenachute {

namespace {

// Share of their processor that the named nodes are to use at most, in
// percent; the rest is for bursts and for the loss of some of them.
constexpr std::uint64_t kUsedPercent = 30;
// The window of the limits that nodes share, and a second for the news.
constexpr Duration kSenderMemory = seconds(11);

std::uint64_t
RankOf(const NodeNews& aNode)
{
  return StableHash(aNode.mIdentity.mName.value());
}

/// How many nodes of the same domain come before, for an order that takes the
/// domains in turn.
std::vector<NodeNews>
InTurns(std::vector<NodeNews> aNodes)
{
  std::sort(aNodes.begin(),
            aNodes.end(),
            [](const NodeNews& aOne, const NodeNews& aOther) {
              return std::tuple(aOther.mPower, RankOf(aOne)) <
                     std::tuple(aOne.mPower, RankOf(aOther));
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
  if (aServing.size() <= kLeastNodes) {
    return aServing;
  }
  std::uint64_t used = 0;
  for (const NodeNews& node : aServing) {
    used += node.mUsed;
  }
  std::vector<NodeNews> ordered = InTurns(std::move(aServing));
  std::uint64_t power = 0;
  std::size_t count = 0;
  while (count < ordered.size() &&
         (count < kCarriers || power * kUsedPercent < used * 100)) {
    power += ordered[count].mPower;
    ++count;
  }
  ordered.resize(count);
  return ordered;
}

void
SenderWatch::OnNamed(const std::vector<NodeNews>& aNamed, Instant aNow)
{
  for (const NodeNews& node : aNamed) {
    mLastNamed[node.mIdentity.mName] = aNow;
  }
  std::erase_if(mLastNamed, [&](const auto& aEntry) {
    return aNow - aEntry.second > kSenderMemory;
  });
}

void
SenderWatch::OnRegistered(const std::vector<NodeName>& aNodes, Instant aNow)
{
  const std::size_t count = std::min(aNodes.size(), OfferPolicy::kLeastNodes);
  for (std::size_t i = 0; i < count; ++i) {
    mLastNamed[aNodes[i]] = aNow;
  }
}

std::vector<NodeName>
SenderWatch::Senders(Instant aNow) const
{
  std::vector<NodeName> senders;
  for (const auto& entry : mLastNamed) {
    if (aNow - entry.second <= kSenderMemory) {
      senders.push_back(entry.first);
    }
  }
  return senders;
}

} // namespace verbenachute
