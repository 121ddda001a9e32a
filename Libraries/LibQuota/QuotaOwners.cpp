#include <LibQuota/QuotaOwners.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// Longer than most partitions, so that both sides of one share the quota until
// it has ended.
constexpr Duration kCandidateMemory = seconds(15);
// Within this time a node has heard from all candidates that it can reach.
constexpr Duration kStartupTime = seconds(1);

} // namespace

QuotaOwners::QuotaOwners(Instant aStart)
  : mStart(aStart)
  , mLastChange(aStart)
{
}

void
QuotaOwners::Update(std::vector<NodeName> aCandidates,
                    const std::function<bool(const NodeName&)>& aIsAlive,
                    Instant aNow)
{
  std::sort(aCandidates.begin(), aCandidates.end());
  if (aCandidates != mCandidates) {
    mCandidates = std::move(aCandidates);
    mLastChange = aNow;
  }
  for (const NodeName& candidate : mCandidates) {
    mLastSeen[candidate] = aNow;
  }
  std::erase_if(mLastSeen, [&](const auto& aEntry) {
    return aNow - aEntry.second > kCandidateMemory;
  });
  mAliveCount = static_cast<std::size_t>(
    std::count_if(mLastSeen.begin(), mLastSeen.end(), [&](const auto& aEntry) {
      return aEntry.second == aNow || aIsAlive(aEntry.first);
    }));
}

bool
QuotaOwners::AreStableFor(Duration aTime, Instant aNow) const
{
  return aNow - std::max(mLastChange, mStart) >= aTime;
}

std::optional<NodeName>
QuotaOwners::At(const TenantName& aTenant, std::size_t aPlace) const
{
  if (aPlace >= mCandidates.size()) {
    return std::nullopt;
  }
  std::vector<std::pair<std::uint64_t, NodeName>> order;
  order.reserve(mCandidates.size());
  for (const NodeName& candidate : mCandidates) {
    order.emplace_back(RendezvousWeight(aTenant.value(), candidate.value()),
                       candidate);
  }
  const auto place = order.begin() + static_cast<std::ptrdiff_t>(aPlace);
  std::nth_element(order.begin(), place, order.end(), std::greater<>());
  return place->second;
}

double
QuotaOwners::VisibleFraction(Instant aNow) const
{
  if (mLastSeen.empty()) {
    return 0;
  }
  const std::chrono::duration<double> running = aNow - mStart;
  const std::chrono::duration<double> startup = kStartupTime;
  const double started = std::clamp(running / startup, 0.0, 1.0);
  return started * static_cast<double>(mAliveCount) /
         static_cast<double>(mLastSeen.size());
}

} // namespace verbenachute
