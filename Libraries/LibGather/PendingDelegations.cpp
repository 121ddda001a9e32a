#include <LibGather/PendingDelegations.h>

#include <algorithm>

namespace verbenachute {

void
PendingDelegations::Add(DelegationNumber aNumber,
                        const SocketAddress& aPeer,
                        Instant aSentTime)
{
  mPeers.emplace(aNumber, aPeer);
  mSentTimes[aPeer].emplace(aNumber, aSentTime);
}

void
PendingDelegations::Remove(DelegationNumber aNumber)
{
  const auto found = mPeers.find(aNumber);
  if (found == mPeers.end()) {
    return;
  }
  const auto sent = mSentTimes.find(found->second);
  sent->second.erase(aNumber);
  if (sent->second.empty()) {
    mSentTimes.erase(sent);
  }
  mPeers.erase(found);
}

std::optional<SocketAddress>
PendingDelegations::PeerOf(DelegationNumber aNumber) const
{
  const auto found = mPeers.find(aNumber);
  if (found == mPeers.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<DelegationNumber>
PendingDelegations::TakeAllOf(const SocketAddress& aPeer)
{
  std::vector<DelegationNumber> numbers;
  const auto found = mSentTimes.find(aPeer);
  if (found == mSentTimes.end()) {
    return numbers;
  }
  for (const auto& sent : found->second) {
    numbers.push_back(sent.first);
    mPeers.erase(sent.first);
  }
  mSentTimes.erase(found);
  return numbers;
}

bool
PendingDelegations::HasSent(const SocketAddress& aPeer,
                            Instant aSince,
                            Instant aBefore) const
{
  const auto found = mSentTimes.find(aPeer);
  return found != mSentTimes.end() &&
         std::any_of(
           found->second.begin(), found->second.end(), [&](const auto& aSent) {
             return aSent.second >= aSince && aSent.second < aBefore;
           });
}

} // namespace verbenachute
