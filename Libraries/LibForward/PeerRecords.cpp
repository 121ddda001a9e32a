#include <LibForward/PeerRecords.h>

#include <algorithm>

namespace verbenachute {

namespace {

// Time for which a peer that failed is not asked; it doubles with each failure
// in a row. The shards are asked for directly meanwhile, which costs bytes
// between domains but no time.
constexpr Duration kFirstAvoidance = milliseconds(300);
constexpr Duration kLongestAvoidance = seconds(5);

} // namespace

void
PeerRecords::SetNodes(const std::vector<PeerNode>& aNodes)
{
  std::map<NodeName, Record> kept;
  for (const PeerNode& node : aNodes) {
    const auto known = mPeers.find(node.mName);
    Record record = known == mPeers.end() ? Record{} : known->second;
    record.mNode = node;
    kept.emplace(node.mName, std::move(record));
  }
  mPeers.swap(kept);
}

void
PeerRecords::OnPlan(const NodeName& aPeer, PlanVersion aPlan)
{
  const auto found = mPeers.find(aPeer);
  if (found != mPeers.end()) {
    found->second.mNode.mPlan = std::max(found->second.mNode.mPlan, aPlan);
  }
}

const NodeName*
PeerRecords::Choose(const FailureDomain& aDomain,
                    PlanVersion aPlan,
                    Instant aNow) const
{
  const Record* best = nullptr;
  // Compares (running + 1) / power without a division.
  const auto busyness = [](const Record& aOne, const Record& aOther) {
    return (aOne.mRunning + 1) * std::max(aOther.mNode.mPower, 1U);
  };
  for (const auto& entry : mPeers) {
    const Record& record = entry.second;
    if (record.mNode.mDomain != aDomain || record.mNode.mPlan < aPlan ||
        aNow < record.mAvoidUntil) {
      continue;
    }
    if (best == nullptr || busyness(record, *best) < busyness(*best, record)) {
      best = &record;
    }
  }
  return best == nullptr ? nullptr : &best->mNode.mName;
}

void
PeerRecords::OnSent(const NodeName& aPeer)
{
  const auto found = mPeers.find(aPeer);
  if (found != mPeers.end()) {
    ++found->second.mRunning;
  }
}

void
PeerRecords::OnEnded(const NodeName& aPeer)
{
  const auto found = mPeers.find(aPeer);
  if (found != mPeers.end() && found->second.mRunning > 0) {
    --found->second.mRunning;
  }
}

void
PeerRecords::OnAnswered(const NodeName& aPeer)
{
  const auto found = mPeers.find(aPeer);
  if (found != mPeers.end()) {
    found->second.mFailuresInRow = 0;
    found->second.mAvoidUntil = Instant();
  }
}

void
PeerRecords::OnFailed(const NodeName& aPeer, Instant aNow)
{
  const auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return;
  }
  Record& record = found->second;
  Duration wait = kFirstAvoidance;
  for (unsigned i = 0; i < record.mFailuresInRow; ++i) {
    wait = std::min(2 * wait, kLongestAvoidance);
  }
  // Failures of queries that were sent together count once.
  if (aNow >= record.mAvoidUntil) {
    ++record.mFailuresInRow;
    record.mAvoidUntil = aNow + wait;
  }
}

} // namespace verbenachute
