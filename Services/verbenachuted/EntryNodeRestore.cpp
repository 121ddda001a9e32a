#include "EntryNodeParts.h"

#include <LibConfiguration/ConfigurationHead.h>
#include <LibCore/RendezvousHash.h>
#include <LibCore/SocketAddressText.h>
#include <LibHttp/HttpText.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

constexpr int kOk = 200;
constexpr Duration kPlanTimeout = milliseconds(700);
// A value of the store has at most 1 MiB.
constexpr std::size_t kMaximumPlanBytes = 2UL * 1024 * 1024;

/// Writes a configuration key after key, and calls mDone after the last one or
/// the first failure.
struct RewriteTask
{
  StoreKeys& mKeys;
  ConfigurationRestore::Rewrite mRewrite;
  KeyRevision mHeadRevision;
  std::function<void(const Result<SwapOutcome>&)> mDone;
};

void
WriteNext(const std::shared_ptr<RewriteTask>& aTask)
{
  if (aTask->mRewrite.mParts.empty()) {
    if (!aTask->mRewrite.mHead.has_value()) {
      aTask->mDone(SwapOutcome{ SwapResult::Swapped, KeyRevision() });
      return;
    }
    aTask->mKeys.CompareAndSwap(std::string(kHeadKey),
                                *aTask->mRewrite.mHead,
                                aTask->mHeadRevision,
                                aTask->mDone);
    return;
  }
  const std::pair<std::string, std::string> part =
    std::move(aTask->mRewrite.mParts.back());
  aTask->mRewrite.mParts.pop_back();
  aTask->mKeys.CompareAndSwap(part.first,
                              part.second,
                              KeyRevision(0),
                              [aTask](const Result<SwapOutcome>& aSwap) {
                                if (IsError(aSwap)) {
                                  aTask->mDone(aSwap);
                                  return;
                                }
                                // After a conflict the part is there: its name
                                // is the digest of its content.
                                WriteNext(aTask);
                              });
}

} // namespace

void
EntryNode::Parts::OnRestoreTick(Instant aNow)
{
  if (mStore.Follower().Era() == StoreEra()) {
    return;
  }
  CatchUpWithPlan(aNow);
  RewriteConfiguration(aNow);
}

PlanVersion
EntryNode::Parts::NewestPlanOfPeers(Instant aNow) const
{
  PlanVersion newest;
  for (const NodeStatus& peer : mGossip.Peers()) {
    if (mGossip.IsAlive(peer.mIdentity.mName, aNow)) {
      newest = std::max(newest, peer.mPlanVersion);
    }
  }
  return newest;
}

void
EntryNode::Parts::CatchUpWithPlan(Instant aNow)
{
  PlanCatchUp::Inputs inputs;
  inputs.mEra = mStore.Follower().Era();
  inputs.mInForce = mEngine.Plan() ? mEngine.Plan()->Version() : PlanVersion();
  inputs.mHeld = mEntryState.HeldPlan();
  if (mNewestPlanVersion > inputs.mInForce) {
    inputs.mNewestOfPeers = NewestPlanOfPeers(aNow);
  }
  switch (mPlanCatchUp.OnTime(inputs, aNow)) {
    case PlanCatchUp::Decision::Wait:
      return;
    case PlanCatchUp::Decision::FetchFromPeer:
      FetchPlan(aNow);
      return;
    case PlanCatchUp::Decision::ReleaseHeld:
      mEntryState.ReleaseHeldPlan();
      OnStoreChanges({});
      return;
  }
}

void
EntryNode::Parts::FetchPlan(Instant aNow)
{
  const PlanVersion newest = NewestPlanOfPeers(aNow);
  const std::vector<NodeStatus> peers = mGossip.Peers();
  const auto peer =
    std::find_if(peers.begin(), peers.end(), [&](const NodeStatus& aPeer) {
      return aPeer.mPlanVersion == newest &&
             mGossip.IsAlive(aPeer.mIdentity.mName, aNow);
    });
  if (peer == peers.end()) {
    mPlanCatchUp.OnFetchEnded(aNow);
    return;
  }
  mPlanStream = std::make_unique<HttpClientStream>(
    *mLoop, peer->mPeerAddress, PeerTimeouts());
  HttpFields fields;
  fields.Add("Host", SocketAddressText(peer->mPeerAddress));
  HttpClientStream::Exchange exchange;
  exchange.mRequest = SerializeRequest("GET", "/plan", fields, "");
  exchange.mTimeout = kPlanTimeout;
  exchange.mLimits.mBodyBytes = kMaximumPlanBytes;
  mPlanStream->Send(
    std::move(exchange),
    [this, name = peer->mIdentity.mName](StreamOutcome aOutcome) {
      // Deferred, since the next fetch destroys the stream that calls this.
      mLoop->Defer([this, name, outcome = std::move(aOutcome)]() {
        mPlanCatchUp.OnFetchEnded(mLoop->Now());
        const HttpResponse* response = std::get_if<HttpResponse>(&outcome);
        const bool isOk = response != nullptr && response->mStatus == kOk;
        mLogger.Log(LogEvent(EventNumber::PlanFromPeer)
                      .At(Step::Configuration)
                      .Peer(name.value())
                      .With("outcome", isOk ? "fetched" : "failed"));
        if (isOk) {
          mEntryState.OfferPlan(response->mBody);
          OnStoreChanges({});
        }
      });
    });
}

std::size_t
EntryNode::Parts::RankForRewrite(Instant aNow) const
{
  const std::uint64_t own = RendezvousWeight(kHeadKey, mSelf.mName.value());
  const std::vector<NodeStatus> nodes = mGossip.ServingNodes(aNow);
  return static_cast<std::size_t>(
    std::count_if(nodes.begin(), nodes.end(), [&](const NodeStatus& aNode) {
      return RendezvousWeight(kHeadKey, aNode.mIdentity.mName.value()) > own;
    }));
}

void
EntryNode::Parts::RewriteConfiguration(Instant aNow)
{
  const StoreMirror& mirror = mStore.Follower().Mirror();
  const bool knowsStore = mirror.Position().mEra == mStore.Follower().Era() &&
                          !mStore.Follower().FailingSince().has_value();
  if (!knowsStore || mEntryState.Intent().RevisionInForce() == Revision()) {
    return;
  }
  std::optional<ConfigurationRestore::Rewrite> rewrite =
    mConfigurationRestore.OnTime({ mStore.Follower().Era(),
                                   mEntryState.Intent().Base(),
                                   mEntryState.OwnKeys(),
                                   RankForRewrite(aNow) },
                                 aNow);
  if (!rewrite.has_value()) {
    return;
  }
  // The condition on the head is of the mirror's era.
  mStoreKeys.OnEra(mirror.Position().mEra);
  const StoreItem* head = mirror.Find(std::string(kHeadKey));
  const KeyRevision expected(head == nullptr ? 0 : head->mRevision.value());
  const Revision revision = mEntryState.Intent().RevisionInForce();
  WriteNext(std::make_shared<RewriteTask>(RewriteTask{
    mStoreKeys,
    std::move(*rewrite),
    expected,
    [this, revision](const Result<SwapOutcome>& aSwap) {
      mConfigurationRestore.OnRewriteEnded(mLoop->Now());
      LogEvent event(EventNumber::ConfigurationRewritten);
      event.At(Step::Configuration).With("revision", revision.value());
      if (IsError(aSwap)) {
        mLogger.Log(event.WithError(ErrorOf(aSwap)));
        return;
      }
      mLogger.Log(event.With("outcome",
                             ValueOf(aSwap).mResult == SwapResult::Swapped
                               ? "written"
                               : "another was first"));
    } }));
}

} // namespace verbenachute
