#include "StateService.h"

#include <LibControl/ControlMethods.h>
#include <LibControl/PoisonCodec.h>
#include <LibControl/TargetStateCodec.h>

namespace verbenachute {

StateService::StateService(const NodeIdentity& aSelf,
                           Dependencies aDependencies)
  : mSelf(aSelf)
  , mDependencies(aDependencies)
{
  mDependencies.mDispatch.StatePublished().connect(
    [this](const TargetState& aState) { OnPublished(aState); });
  mDependencies.mDispatch.PoisonFound().connect(
    [this](const PoisonReport& aReport) { OnPoison(aReport); });
}

void
StateService::OnTick()
{
  std::vector<NodeIdentity> peers;
  for (const Member& member : mDependencies.mMembership.LivePeers()) {
    peers.push_back(member.mDescription.mIdentity);
  }
  mSpreader.OnPeers(peers);
  for (const StateDelivery& delivery : mSpreader.Due()) {
    Deliver(delivery);
  }
}

Result<Json::Value>
StateService::AnswerStates(const NodeIdentity& aPeer, const Json::Value& aInput)
{
  const Result<std::vector<TargetState>> states =
    ReadTargetStates(aInput["states"]);
  if (IsError(states)) {
    return ErrorOf(states);
  }
  for (const TargetState& state : ValueOf(states)) {
    mDependencies.mQueries.OnTargetState(aPeer, state);
    mDependencies.mDispatch.OnTargetState(state);
  }
  return Json::Value(Json::objectValue);
}

Result<Json::Value>
StateService::AnswerPoison(const Json::Value& aInput)
{
  const Result<PoisonReport> report = ReadPoisonReport(aInput);
  if (IsError(report)) {
    return ErrorOf(report);
  }
  mDependencies.mDispatch.OnPoisonReport(ValueOf(report));
  return Json::Value(Json::objectValue);
}

void
StateService::OnPublished(const TargetState& aState)
{
  mDependencies.mQueries.OnTargetState(mSelf, aState);
  mSpreader.OnState(aState);
  // Sent from the next turn of the loop, so that the states that one event
  // changes go out together.
  mDependencies.mLoop.Defer([this]() {
    for (const StateDelivery& delivery : mSpreader.Due()) {
      Deliver(delivery);
    }
  });
}

void
StateService::OnPoison(const PoisonReport& aReport)
{
  for (const Member& member : mDependencies.mMembership.LivePeers()) {
    mDependencies.mPeers.Call(member.mDescription.mPeerAddress,
                              kPoisonReportMethod,
                              WritePoisonReport(aReport),
                              [](const Result<Json::Value>&) {});
  }
}

void
StateService::Deliver(const StateDelivery& aDelivery)
{
  const std::optional<SocketAddress> address =
    mDependencies.mMembership.PeerAddress(aDelivery.mPeer.mName);
  if (!address.has_value()) {
    mSpreader.OnFailed(aDelivery.mPeer);
    return;
  }
  Json::Value input;
  input["states"] = WriteTargetStates(aDelivery.mStates);
  mDependencies.mPeers.Call(
    *address,
    kTargetStatesMethod,
    input,
    [this, peer = aDelivery.mPeer, position = aDelivery.mPosition](
      const Result<Json::Value>& aReply) {
      if (IsError(aReply)) {
        mSpreader.OnFailed(peer);
        return;
      }
      mSpreader.OnConfirmed(peer, position);
    });
}

} // namespace verbenachute
