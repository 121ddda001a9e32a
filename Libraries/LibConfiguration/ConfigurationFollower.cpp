#include <LibConfiguration/ConfigurationFollower.h>

#include <LibConfiguration/ConfigurationCodec.h>
#include <LibConfiguration/ContentDigest.h>
#include <LibCore/RendezvousHash.h>
#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

namespace {

/// Nodes of a cell that watch the store; the others follow them.
constexpr std::size_t kStoreReaders = 2;
/// The age of a confirmation grows during a watch, so it stays well below
/// kUnconfirmedLimit.
constexpr Duration kWatchWait = seconds(3);
constexpr Duration kReadTimeout = seconds(2);
/// Minimum time between two calls to the store, for watches that return
/// immediately.
constexpr Duration kStoreSpacing = milliseconds(200);
/// After this time without a confirmation by a peer a node reads the store.
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
  CallStore(aNow, &actions);
  return actions;
}

ConfigurationFollower::Actions
ConfigurationFollower::OnTick(Instant aNow)
{
  Actions actions;
  for (const Call& call : mCalls.TakeExpired(aNow)) {
    HandleFailure(call, aNow, &actions);
  }
  if (mStoreDue <= aNow) {
    CallStore(aNow, &actions);
  }
  ContinueFetch(aNow, &actions);
  return actions;
}

Instant
ConfigurationFollower::NextWake() const
{
  const Instant wake = mCalls.EarlierDeadline(mStoreDue);
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
    // The revision in force here is at least as new as the confirmed one.
    Confirm(aConfirmed);
    return actions;
  }
  const bool fetched = mFetch && mFetch->Head().mRevision >= aRevision;
  if (!fetched && aRevision > mRefused) {
    CallPeer(aPeer, aNow, &actions);
  }
  // The first configuration may have waited for this peer's report.
  ContinueFetch(aNow, &actions);
  return actions;
}

ConfigurationFollower::Actions
ConfigurationFollower::OnHead(CallId aCall,
                              const ConfigurationSource& aSource,
                              const std::string& aText,
                              std::uint64_t aKeyRevision,
                              Instant aNow)
{
  Actions actions;
  const std::optional<Call> call = mCalls.Take(aCall);
  const bool fromStore = std::holds_alternative<StoreSource>(aSource);
  // A reply after its deadline may be of any age, so it confirms nothing, but
  // its revision still counts.
  std::optional<Instant> confirmed;
  if (call && fromStore) {
    confirmed = call->mSentTime;
  }
  const HeadUse use = TakeHead(aSource, aText, confirmed, aNow, &actions);
  if (call && fromStore && use == HeadUse::Taken) {
    mKeyRevision = aKeyRevision;
    mStoreBackoff.OnSuccess();
    ScheduleStore(aNow);
  } else if (call && fromStore) {
    // A watch beyond a head that can not be used would confirm the revision in
    // force.
    HandleFailure(*call, aNow, &actions);
  }
  return actions;
}

ConfigurationFollower::Actions
ConfigurationFollower::OnNoHead(CallId aCall, Instant aNow)
{
  const std::optional<Call> call = mCalls.Take(aCall);
  if (call && std::holds_alternative<StoreSource>(call->mSource)) {
    mKeyRevision = 0;
    mStoreBackoff.OnSuccess();
    ScheduleStore(aNow);
  }
  return {};
}

ConfigurationFollower::Actions
ConfigurationFollower::OnUnchanged(CallId aCall, Instant aNow)
{
  const std::optional<Call> call = mCalls.Take(aCall);
  if (!call || call->mKind != CallKind::Watch) {
    return {};
  }
  mStoreBackoff.OnSuccess();
  ScheduleStore(aNow);
  // There was no newer head when the store accepted the watch, but the parts of
  // the head at which the watch began may still be loading.
  if (!mFetch && mKnown <= RevisionInForce()) {
    Confirm(call->mSentTime);
  }
  return {};
}

ConfigurationFollower::Actions
ConfigurationFollower::OnPart(CallId aCall,
                              const PartName& aPart,
                              std::shared_ptr<const std::string> aText,
                              Instant aNow)
{
  Actions actions;
  const std::optional<Call> call = mCalls.Take(aCall);
  if (ContentDigest(*aText) != aPart.mDigest) {
    if (call) {
      HandleFailure(*call, aNow, &actions);
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
ConfigurationFollower::OnFailure(CallId aCall, Instant aNow)
{
  Actions actions;
  const std::optional<Call> call = mCalls.Take(aCall);
  if (call) {
    HandleFailure(*call, aNow, &actions);
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
  fetch.AddKnownParts(aWritten.mParts);
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
ConfigurationFollower::CallStore(Instant aNow, Actions* aActions)
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
  const CallId call = mCalls.Add({ watches ? CallKind::Watch : CallKind::Head,
                                   StoreSource{},
                                   {},
                                   aNow,
                                   givenUp });
  if (watches) {
    aActions->push_back(WatchHead{ call, *mKeyRevision, wait });
  } else {
    aActions->push_back(ReadHead{ call, StoreSource{} });
  }
  // The reply or its time-out sets the next time.
  mStoreDue = givenUp + kReadTimeout;
}

void
ConfigurationFollower::CallPeer(const NodeName& aPeer,
                                Instant aNow,
                                Actions* aActions)
{
  const ConfigurationSource source(aPeer);
  const bool isPending = mCalls.HasAny([&source](const Call& aCall) {
    return aCall.mKind == CallKind::Head && aCall.mSource == source;
  });
  if (!isPending) {
    const CallId call =
      mCalls.Add({ CallKind::Head, source, {}, aNow, aNow + kReadTimeout });
    aActions->push_back(ReadHead{ call, source });
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
ConfigurationFollower::HandleFailure(const Call& aCall,
                                     Instant aNow,
                                     Actions* aActions)
{
  if (aCall.mKind == CallKind::Part) {
    const Duration wait = mPartBackoff.OnFailure();
    if (mFetch && mFetch->OnFailure(aCall.mPart, aNow + wait)) {
      ContinueFetch(aNow, aActions);
    }
    return;
  }
  if (std::holds_alternative<StoreSource>(aCall.mSource)) {
    // A read precedes the next watch, which would miss a change that was made
    // while no watch was pending.
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
  aFetch.AddKnownParts(mParts);
  if (mFetch) {
    aFetch.AddKnownParts(mFetch->Parts());
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
  for (const PartName& part : mFetch->TakeNextParts(aNow)) {
    const CallId call =
      mCalls.Add({ CallKind::Part, source, part, aNow, aNow + kReadTimeout });
    aActions->push_back(ReadPart{ call, source, part });
  }
  if (mFetch->IsComplete() && MayAdopt(*mFetch)) {
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
  // its previous incarnation, which a single peer may not know yet. The store
  // or a majority of the peers knows it.
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
