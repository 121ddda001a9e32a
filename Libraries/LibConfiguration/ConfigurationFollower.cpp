#include <LibConfiguration/ConfigurationFollower.h>

#include <LibConfiguration/ConfigurationCodec.h>
#include <LibConfiguration/ContentDigest.h>
#include <LibCore/RendezvousHash.h>
#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

namespace {

/// Nodes of a cell that watch the store; the others hear from them.
constexpr std::size_t kStoreReaders = 2;
/// The age of a confirmation grows during a watch, so it stays well below
/// kUnconfirmedLimit.
constexpr Duration kWatchWait = seconds(3);
constexpr Duration kReadTimeout = seconds(2);
/// Least time between two questions to the store, for watches that return
/// at once.
constexpr Duration kStoreSpacing = milliseconds(200);
/// A node that no peer has confirmed for so long reads the store itself.
constexpr Duration kUnconfirmedLimit = seconds(8);
constexpr Duration kFirstBackoff = milliseconds(500);
constexpr Duration kLongestBackoff = seconds(20);
constexpr Duration kFirstPartBackoff = milliseconds(100);
constexpr Duration kLongestPartBackoff = seconds(5);

} // namespace

ConfigurationFollower::ConfigurationFollower(NodeName aSelf)
  : mSelf(aSelf)
  , mStoreBackoff(aSelf, kFirstBackoff, kLongestBackoff)
  , mPartBackoff(std::move(aSelf), kFirstPartBackoff, kLongestPartBackoff)
{
}

ConfigurationFollower::Actions
ConfigurationFollower::Start(Instant aNow)
{
  Actions actions;
  AskStore(aNow, &actions);
  return actions;
}

ConfigurationFollower::Actions
ConfigurationFollower::OnTick(Instant aNow)
{
  Actions actions;
  for (const Ask& ask : mAsks.TakeLate(aNow)) {
    HandleFailure(ask, aNow, &actions);
  }
  if (mStoreDue <= aNow) {
    AskStore(aNow, &actions);
  }
  ContinueFetch(aNow, &actions);
  return actions;
}

Instant
ConfigurationFollower::NextWake() const
{
  const Instant wake = mAsks.WakeBy(mStoreDue);
  const std::optional<Instant> due = mFetch ? mFetch->Due() : std::nullopt;
  return due ? std::min(wake, *due) : wake;
}

void
ConfigurationFollower::OnPeers(std::vector<NodeName> aPeers, Instant aNow)
{
  std::erase(aPeers, mSelf);
  const bool wasReader = IsStoreReader();
  mPeers = std::move(aPeers);
  std::erase_if(mPeerRevisions, [this](const auto& aEntry) {
    return std::find(mPeers.begin(), mPeers.end(), aEntry.first) ==
           mPeers.end();
  });
  if (!wasReader && IsStoreReader()) {
    mStoreDue = std::min(mStoreDue, aNow + mStoreBackoff.Spread(kStoreSpacing));
  }
}

ConfigurationFollower::Actions
ConfigurationFollower::OnPeerRevision(const NodeName& aPeer,
                                      Revision aRevision,
                                      std::optional<Instant> aConfirmed,
                                      Instant aNow)
{
  Actions actions;
  mKnown = std::max(mKnown, aRevision);
  mPeerRevisions[aPeer] = aRevision;
  if (mInForce && aRevision <= RevisionInForce()) {
    // What this node has in force is at least as new as what was the latest.
    Confirm(aConfirmed);
    return actions;
  }
  const bool fetched = mFetch && mFetch->Head().mRevision >= aRevision;
  if (!fetched && aRevision > mRefused) {
    AskPeer(aPeer, aNow, &actions);
  }
  // The first configuration may have waited for this peer's word.
  ContinueFetch(aNow, &actions);
  return actions;
}

ConfigurationFollower::Actions
ConfigurationFollower::OnHead(AskId aAsk,
                              const ConfigurationSource& aSource,
                              const std::string& aText,
                              std::uint64_t aKeyRevision,
                              Instant aNow)
{
  Actions actions;
  const std::optional<Ask> ask = mAsks.Take(aAsk);
  const bool fromStore = std::holds_alternative<StoreSource>(aSource);
  // A reply that was given up on may be any age, so it confirms nothing; its
  // revision counts all the same.
  std::optional<Instant> confirmed;
  if (ask && fromStore) {
    confirmed = ask->mAsked;
  }
  const HeadUse use = TakeHead(aSource, aText, confirmed, aNow, &actions);
  if (ask && fromStore && use == HeadUse::Taken) {
    mKeyRevision = aKeyRevision;
    mStoreBackoff.OnSuccess();
    ScheduleStore(aNow);
  } else if (ask && fromStore) {
    // A watch beyond a head that can't be used would confirm what is in force.
    HandleFailure(*ask, aNow, &actions);
  }
  return actions;
}

ConfigurationFollower::Actions
ConfigurationFollower::OnNoHead(AskId aAsk, Instant aNow)
{
  const std::optional<Ask> ask = mAsks.Take(aAsk);
  if (ask && std::holds_alternative<StoreSource>(ask->mSource)) {
    mKeyRevision = 0;
    mStoreBackoff.OnSuccess();
    ScheduleStore(aNow);
  }
  return {};
}

ConfigurationFollower::Actions
ConfigurationFollower::OnUnchanged(AskId aAsk, Instant aNow)
{
  const std::optional<Ask> ask = mAsks.Take(aAsk);
  if (!ask || ask->mKind != AskKind::Watch) {
    return {};
  }
  mStoreBackoff.OnSuccess();
  ScheduleStore(aNow);
  // The store saw no newer head when it took the watch, and the head that the
  // watch began from may still be on its way into force.
  if (!mFetch && mKnown <= RevisionInForce()) {
    Confirm(ask->mAsked);
  }
  return {};
}

ConfigurationFollower::Actions
ConfigurationFollower::OnPart(AskId aAsk,
                              const PartName& aPart,
                              std::shared_ptr<const std::string> aText,
                              Instant aNow)
{
  Actions actions;
  const std::optional<Ask> ask = mAsks.Take(aAsk);
  if (ContentDigest(*aText) != aPart.mDigest) {
    if (ask) {
      HandleFailure(*ask, aNow, &actions);
    }
    return actions;
  }
  if (mFetch) {
    mFetch->Take(aPart, std::move(aText));
    mPartBackoff.OnSuccess();
    ContinueFetch(aNow, &actions);
  }
  return actions;
}

ConfigurationFollower::Actions
ConfigurationFollower::OnFailure(AskId aAsk, Instant aNow)
{
  Actions actions;
  const std::optional<Ask> ask = mAsks.Take(aAsk);
  if (ask) {
    HandleFailure(*ask, aNow, &actions);
  }
  return actions;
}

ConfigurationFollower::Actions
ConfigurationFollower::OnWritten(const EncodedConfiguration& aWritten,
                                 Instant aSent,
                                 Instant aNow)
{
  Actions actions;
  mKnown = std::max(mKnown, aWritten.mHead.mRevision);
  PartFetch fetch(aWritten.mHead, StoreSource{}, aSent, aNow);
  fetch.TakeKnown(aWritten.mParts);
  BeginFetch(std::move(fetch), aNow, &actions);
  return actions;
}

Revision
ConfigurationFollower::RevisionInForce() const
{
  return mInForce ? mInForce->CurrentRevision() : Revision(0);
}

bool
ConfigurationFollower::IsFresh(Instant aNow, Duration aAge) const
{
  return mInForce && mKnown <= RevisionInForce() && mConfirmed &&
         aNow - *mConfirmed <= aAge;
}

std::shared_ptr<const std::string>
ConfigurationFollower::FindPart(const PartName& aPart) const
{
  const auto found = mParts.find(aPart);
  return found == mParts.end() ? nullptr : found->second;
}

bool
ConfigurationFollower::IsStoreReader() const
{
  constexpr std::string_view kKey = "configuration reader";
  const std::uint64_t own = RendezvousWeight(kKey, mSelf.value());
  const std::ptrdiff_t heavier = std::count_if(
    mPeers.begin(), mPeers.end(), [own, kKey](const NodeName& aPeer) {
      return RendezvousWeight(kKey, aPeer.value()) > own;
    });
  return static_cast<std::size_t>(heavier) < kStoreReaders;
}

void
ConfigurationFollower::AskStore(Instant aNow, Actions* aActions)
{
  const bool reads =
    IsStoreReader() || !mInForce || !IsFresh(aNow, kUnconfirmedLimit);
  if (!reads) {
    mStoreDue = aNow + mStoreBackoff.Spread(kUnconfirmedLimit);
    return;
  }
  const bool watches = IsStoreReader() && mKeyRevision;
  const Duration wait = watches ? kWatchWait : Duration(0);
  const Instant givenUp = aNow + wait + kReadTimeout;
  const AskId ask = mAsks.Add({ watches ? AskKind::Watch : AskKind::Head,
                                StoreSource{},
                                {},
                                aNow,
                                givenUp });
  if (watches) {
    aActions->push_back(WatchHead{ ask, *mKeyRevision, wait });
  } else {
    aActions->push_back(ReadHead{ ask, StoreSource{} });
  }
  // The answer, or giving up on it, sets the next time.
  mStoreDue = givenUp + kReadTimeout;
}

void
ConfigurationFollower::AskPeer(const NodeName& aPeer,
                               Instant aNow,
                               Actions* aActions)
{
  const ConfigurationSource source(aPeer);
  const bool asked = mAsks.HasAny([&source](const Ask& aAsk) {
    return aAsk.mKind == AskKind::Head && aAsk.mSource == source;
  });
  if (!asked) {
    const AskId ask =
      mAsks.Add({ AskKind::Head, source, {}, aNow, aNow + kReadTimeout });
    aActions->push_back(ReadHead{ ask, source });
  }
}

void
ConfigurationFollower::ScheduleStore(Instant aNow)
{
  mStoreDue =
    aNow +
    (IsStoreReader() ? kStoreSpacing : mStoreBackoff.Spread(kUnconfirmedLimit));
}

void
ConfigurationFollower::HandleFailure(const Ask& aAsk,
                                     Instant aNow,
                                     Actions* aActions)
{
  if (aAsk.mKind == AskKind::Part) {
    const Duration wait = mPartBackoff.OnFailure();
    if (mFetch && mFetch->OnFailure(aAsk.mPart, aNow + wait)) {
      ContinueFetch(aNow, aActions);
    }
    return;
  }
  if (std::holds_alternative<StoreSource>(aAsk.mSource)) {
    // A read goes before the next watch, since a watch may miss a change that
    // came while no watch stood.
    mKeyRevision.reset();
    mStoreDue = aNow + mStoreBackoff.OnFailure();
  }
}

ConfigurationFollower::HeadUse
ConfigurationFollower::TakeHead(const ConfigurationSource& aSource,
                                const std::string& aText,
                                std::optional<Instant> aConfirmed,
                                Instant aNow,
                                Actions* aActions)
{
  Result<ConfigurationHead> head = ConfigurationHead::Create(aText);
  if (IsError(head)) {
    aActions->push_back(ReportRefused{ aSource, Revision(0), ErrorOf(head) });
    return HeadUse::Refused;
  }
  const Revision revision = ValueOf(head).mRevision;
  mKnown = std::max(mKnown, revision);
  if (revision == RevisionInForce()) {
    Confirm(aConfirmed);
    return HeadUse::Taken;
  }
  if (revision < RevisionInForce()) {
    aActions->push_back(ReportRefused{
      aSource,
      revision,
      Error{ Step::Configuration,
             ErrorCode::Conflict,
             "",
             "an older revision than the one in force was offered" } });
    return HeadUse::Refused;
  }
  if (revision <= mRefused) {
    return HeadUse::Refused;
  }
  BeginFetch(
    PartFetch(ReleaseValue(std::move(head)), aSource, aConfirmed, aNow),
    aNow,
    aActions);
  return HeadUse::Taken;
}

void
ConfigurationFollower::BeginFetch(PartFetch aFetch,
                                  Instant aNow,
                                  Actions* aActions)
{
  const Revision revision = aFetch.Head().mRevision;
  if (revision <= RevisionInForce() ||
      (mFetch && mFetch->Head().mRevision >= revision)) {
    return;
  }
  aFetch.TakeKnown(mParts);
  if (mFetch) {
    aFetch.TakeKnown(mFetch->Parts());
  }
  mFetch = std::move(aFetch);
  ContinueFetch(aNow, aActions);
}

void
ConfigurationFollower::ContinueFetch(Instant aNow, Actions* aActions)
{
  if (!mFetch) {
    return;
  }
  const ConfigurationSource source = mFetch->NextSource(mPeerRevisions);
  for (const PartName& part : mFetch->NextToAsk(aNow)) {
    const AskId ask =
      mAsks.Add({ AskKind::Part, source, part, aNow, aNow + kReadTimeout });
    aActions->push_back(ReadPart{ ask, source, part });
  }
  if (mFetch->IsWhole() && MayAdopt(*mFetch)) {
    FinishFetch(aActions);
  }
}

bool
ConfigurationFollower::MayAdopt(const PartFetch& aFetch) const
{
  if (mInForce || aFetch.Confirmed()) {
    return true;
  }
  // A node that has just started may have had a larger revision in force in
  // its life before, which a single peer may not know yet. The store's word
  // settles it, or that of a majority of the peers.
  const std::ptrdiff_t told =
    std::count_if(mPeers.begin(), mPeers.end(), [this](const NodeName& aPeer) {
      return mPeerRevisions.contains(aPeer);
    });
  return aFetch.Head().mRevision >= mKnown &&
         2 * static_cast<std::size_t>(told) > mPeers.size();
}

void
ConfigurationFollower::FinishFetch(Actions* aActions)
{
  const PartFetch fetch = std::move(*mFetch);
  mFetch.reset();
  const Result<std::shared_ptr<const Configuration>> decoded =
    ConfigurationCodec::Decode(fetch.Head(), fetch.Parts());
  if (IsError(decoded)) {
    mRefused = fetch.Head().mRevision;
    aActions->push_back(
      ReportRefused{ fetch.Source(), mRefused, ErrorOf(decoded) });
    return;
  }
  Adopt(ValueOf(decoded), fetch.Head(), fetch.Parts(), aActions);
  Confirm(fetch.Confirmed());
}

void
ConfigurationFollower::Adopt(
  std::shared_ptr<const Configuration> aConfiguration,
  const ConfigurationHead& aHead,
  ConfigurationParts aParts,
  Actions* aActions)
{
  VERIFY(aConfiguration->CurrentRevision() > RevisionInForce());
  VERIFY(aConfiguration->CurrentRevision() == aHead.mRevision);
  mInForce = std::move(aConfiguration);
  mHead = aHead;
  mHeadText = mHead.Text();
  mParts = std::move(aParts);
  aActions->push_back(PutInForce{ mInForce });
}

void
ConfigurationFollower::Confirm(std::optional<Instant> aConfirmed)
{
  if (aConfirmed && (!mConfirmed || *mConfirmed < *aConfirmed)) {
    mConfirmed = aConfirmed;
  }
}

} // namespace verbenachute
