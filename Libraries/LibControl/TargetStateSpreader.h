#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/TargetState.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <vector>

namespace verbenachute {

/// Number of a change among those that one holder spreads.
using SpreadPosition = Strong<struct SpreadPositionTag, std::uint64_t>;

/// States to send to one life of a peer; it confirms mPosition.
struct StateDelivery
{
  NodeIdentity mPeer;
  SpreadPosition mPosition;
  std::vector<TargetState> mStates;
};

/// Brings what this node knows as a holder to all peers. Each peer gets the
/// changes since the last position that it confirmed, and a new life of a
/// peer gets everything, so nothing depends on a message that may be lost.
class TargetStateSpreader
{
public:
  /// Takes a state in place of the earlier one of the same target.
  void OnState(const TargetState& aState);
  /// Stops spreading a target that this node no longer holds.
  void Forget(const TargetName& aTarget);
  /// The lives to which states are spread; others are forgotten.
  void OnPeers(const std::vector<NodeIdentity>& aPeers);
  /// A peer has taken everything up to the position.
  void OnConfirmed(const NodeIdentity& aPeer, SpreadPosition aPosition);
  /// A delivery failed and is due again.
  void OnFailed(const NodeIdentity& aPeer);
  /// Deliveries that are due now, at most one under way for each peer.
  [[nodiscard]] std::vector<StateDelivery> Due();

private:
  enum class Progress
  {
    Idle,
    UnderWay,
  };

  struct Peer
  {
    SpreadPosition mConfirmed;
    Progress mProgress = Progress::Idle;
  };

  [[nodiscard]] StateDelivery DeliveryFor(const NodeIdentity& aPeer,
                                          SpreadPosition aAfter) const;

  std::uint64_t mLastPosition = 0;
  std::map<SpreadPosition, TargetState> mStates;
  std::map<TargetName, SpreadPosition> mPositions;
  std::map<NodeIdentity, Peer> mPeers;
};

} // namespace verbenachute
