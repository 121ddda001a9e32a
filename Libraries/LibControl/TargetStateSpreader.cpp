#include <LibControl/TargetStateSpreader.h>

#include <algorithm>

namespace verbenachute {

namespace {

// Keeps one message well below the largest frame and the loop responsive.
constexpr std::size_t kStatesPerDelivery = 256;

} // namespace

void
TargetStateSpreader::OnState(const TargetState& aState)
{
  Forget(aState.mTarget);
  const SpreadPosition position(++mLastPosition);
  mStates.emplace(position, aState);
  mPositions.emplace(aState.mTarget, position);
}

void
TargetStateSpreader::Forget(const TargetName& aTarget)
{
  const auto found = mPositions.find(aTarget);
  if (found == mPositions.end()) {
    return;
  }
  mStates.erase(found->second);
  mPositions.erase(found);
}

void
TargetStateSpreader::OnPeers(const std::vector<NodeIdentity>& aPeers)
{
  std::map<NodeIdentity, Peer> peers;
  for (const NodeIdentity& identity : aPeers) {
    const auto known = mPeers.find(identity);
    peers.emplace(identity, known == mPeers.end() ? Peer{} : known->second);
  }
  mPeers.swap(peers);
}

void
TargetStateSpreader::OnConfirmed(const NodeIdentity& aPeer,
                                 SpreadPosition aPosition)
{
  const auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return;
  }
  found->second.mProgress = Progress::Idle;
  found->second.mConfirmed = std::max(found->second.mConfirmed, aPosition);
}

void
TargetStateSpreader::OnFailed(const NodeIdentity& aPeer)
{
  const auto found = mPeers.find(aPeer);
  if (found != mPeers.end()) {
    found->second.mProgress = Progress::Idle;
  }
}

std::vector<StateDelivery>
TargetStateSpreader::Due()
{
  std::vector<StateDelivery> deliveries;
  for (std::pair<const NodeIdentity, Peer>& entry : mPeers) {
    if (entry.second.mProgress == Progress::UnderWay) {
      continue;
    }
    StateDelivery delivery = DeliveryFor(entry.first, entry.second.mConfirmed);
    if (delivery.mStates.empty()) {
      continue;
    }
    entry.second.mProgress = Progress::UnderWay;
    deliveries.push_back(std::move(delivery));
  }
  return deliveries;
}

StateDelivery
TargetStateSpreader::DeliveryFor(const NodeIdentity& aPeer,
                                 SpreadPosition aAfter) const
{
  StateDelivery delivery;
  delivery.mPeer = aPeer;
  for (auto state = mStates.upper_bound(aAfter);
       state != mStates.end() && delivery.mStates.size() < kStatesPerDelivery;
       ++state) {
    delivery.mPosition = state->first;
    delivery.mStates.push_back(state->second);
  }
  return delivery;
}

} // namespace verbenachute
