#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibForward/Delegation.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace verbenachute {

/// The delegations of this node whose last response has not arrived, by the
/// address of the peer that they were sent to.
class PendingDelegations
{
public:
  void Add(DelegationNumber aNumber,
           const SocketAddress& aPeer,
           Instant aSentTime);
  /// Does nothing if the delegation is not pending.
  void Remove(DelegationNumber aNumber);
  /// The peer that a delegation was sent to; empty if it is not pending.
  [[nodiscard]] std::optional<SocketAddress> PeerOf(
    DelegationNumber aNumber) const;
  /// Removes and returns the delegations that were sent to a peer whose link is
  /// lost. None of them is pending when the caller handles the first failure,
  /// which may cancel the others.
  [[nodiscard]] std::vector<DelegationNumber> TakeAllOf(
    const SocketAddress& aPeer);
  /// Whether a delegation to the peer was sent at or after aSince and before
  /// aBefore.
  [[nodiscard]] bool HasSent(const SocketAddress& aPeer,
                             Instant aSince,
                             Instant aBefore) const;
  [[nodiscard]] bool IsEmpty() const { return mPeers.empty(); }

private:
  std::unordered_map<DelegationNumber, SocketAddress> mPeers;
  /// Send times by peer.
  std::map<SocketAddress, std::map<DelegationNumber, Instant>> mSentTimes;
};

} // namespace verbenachute
