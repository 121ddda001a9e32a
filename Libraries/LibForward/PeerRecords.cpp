#include <LibForward/PeerRecords.h>

#include <algorithm>

namespace verbenachute {

namespace {

// A peer that failed is sent nothing for this time, which doubles with each
// consecutive failure. Its shards are requested directly meanwhile, which costs
// traffic between domains but no time.
constexpr Duration kInitialBackOff = milliseconds(300);
constexpr Duration kMaxBackOff = seconds(5);

} // namespace

void
PeerRecords::SetNodes(const std::vector<PeerNode>& aNodes)
{
  std::map<NodeName, Record> records;
  for (const PeerNode& node : aNodes) {
    const auto known = mPeers.find(node.mName);
    Record record = known == mPeers.end() ? Record{} : known->second;
    record.mNode = node;
    records.emplace(node.mName, std::move(record));
  }
  mPeers.swap(records);
}

void
PeerRecords::OnPlanVersion(const NodeName& aPeer, PlanVersion aPlan)
{
  const auto found = mPeers.find(aPeer);
  if (found != mPeers.end()) {
    found->second.mNode.mPlanVersion =
      std::max(found->second.mNode.mPlanVersion, aPlan);
  }
}

const NodeName*
PeerRecords::Choose(const FailureDomain& aDomain,
                    PlanVersion aPlan,
                    Instant aNow) const
{
  const Record* best = nullptr;
  // Compares (outstanding + 1) / CPU without a division.
  const auto weightedLoad = [](const Record& aOne, const Record& aOther) {
    return (aOne.mOutstanding + 1) * std::max(aOther.mNode.mCpuMillicores, 1U);
  };
  for (const auto& entry : mPeers) {
    const Record& record = entry.second;
    if (record.mNode.mDomain != aDomain || record.mNode.mPlanVersion < aPlan ||
        aNow < record.mBackOffUntil) {
      continue;
    }
    if (best == nullptr ||
        weightedLoad(record, *best) < weightedLoad(*best, record)) {
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
    ++found->second.mOutstanding;
  }
}

void
PeerRecords::OnCompleted(const NodeName& aPeer)
{
  const auto found = mPeers.find(aPeer);
  if (found != mPeers.end() && found->second.mOutstanding > 0) {
    --found->second.mOutstanding;
  }
}

void
PeerRecords::OnAnswered(const NodeName& aPeer)
{
  const auto found = mPeers.find(aPeer);
  if (found != mPeers.end()) {
    found->second.mConsecutiveFailures = 0;
    found->second.mBackOffUntil = Instant();
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
  Duration backOff = kInitialBackOff;
  for (unsigned i = 0; i < record.mConsecutiveFailures; ++i) {
    backOff = std::min(2 * backOff, kMaxBackOff);
  }
  // Failures of queries that were sent together count once.
  if (aNow >= record.mBackOffUntil) {
    ++record.mConsecutiveFailures;
    record.mBackOffUntil = aNow + backOff;
  }
}

} // namespace verbenachute
