#include "StoreKeys.h"

#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>

#include <platform/StoreWire.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace verbenachute {

namespace {

// Less than the 2 s after which a ConfigurationWriter abandons a call.
constexpr Duration kCallTimeout = milliseconds(1900);
// A writer reads its head shortly before it writes it.
constexpr std::size_t kMaximumReads = 64;

} // namespace

StoreKeys::StoreKeys(EventLoop& aLoop,
                     Logger& aLogger,
                     const SocketAddress& aStore,
                     std::function<void(StoreEra)> aOnEra)
  : mLoop(aLoop)
  , mStore(aStore)
  , mHost(SocketAddressText(aStore))
  , mLogger(aLogger)
  , mOnEra(std::move(aOnEra))
{
}

void
StoreKeys::Read(const std::string& aKey, ReadDone aDone)
{
  Call(platform::ReadKeyCall(mHost, aKey),
       [this, aKey, done = std::move(aDone)](const StreamOutcome& aOutcome,
                                             StoreEra aEra) {
         const platform::StoreResult<std::optional<StoreItem>> readItem =
           platform::ReadKeyResult(aOutcome);
         if (std::holds_alternative<StoreFailure>(readItem)) {
           done(MakeError(ErrorCode::Unavailable));
           return;
         }
         NoteRead(aKey, aEra);
         const std::optional<StoreItem>& item =
           std::get<std::optional<StoreItem>>(readItem);
         done(item
                ? std::optional<StoredValue>(StoredValue{
                    item->mValue, KeyRevision(item->mRevision.value()), aEra })
                : std::nullopt);
       });
}

void
StoreKeys::CompareAndSwap(const std::string& aKey,
                          const std::string& aValue,
                          KeyRevision aExpected,
                          SwapDone aDone)
{
  Write(aKey,
        platform::WriteKeyCall(mHost,
                               aKey,
                               aValue,
                               StoreRevision(aExpected.value()),
                               platform::LeaseId()),
        std::move(aDone));
}

void
StoreKeys::CompareAndSwapAll(
  const std::vector<std::pair<std::string, std::string>>& aWrites,
  KeyRevision aExpected,
  SwapDone aDone)
{
  VERIFY(!aWrites.empty());
  Write(
    aWrites.front().first,
    platform::WriteKeysCall(mHost, aWrites, StoreRevision(aExpected.value())),
    std::move(aDone));
}

void
StoreKeys::Remove(const std::string& aKey,
                  KeyRevision aExpected,
                  SwapDone aDone)
{
  Write(aKey,
        platform::RemoveKeyCall(mHost, aKey, StoreRevision(aExpected.value())),
        std::move(aDone));
}

void
StoreKeys::Write(const std::string& aKey, std::string aRequest, SwapDone aDone)
{
  const StoreEra conditionEra = TakeConditionEra(aKey);
  if (conditionEra < mEra) {
    mLoop.Defer([done = std::move(aDone)]() {
      done(SwapOutcome{ SwapResult::Conflict, KeyRevision() });
    });
    return;
  }
  Call(std::move(aRequest),
       [this, conditionEra, done = std::move(aDone)](
         const StreamOutcome& aOutcome, StoreEra aEra) {
         if (aEra != conditionEra) {
           // The revision of the condition may have been handed out again, and
           // what was written before may be lost: the caller reads again.
           done(MakeError(ErrorCode::OutcomeUnknown));
           return;
         }
         done(ToSwapOutcome(aOutcome));
       });
}

void
StoreKeys::OnEra(StoreEra aEra)
{
  mEra = std::max(mEra, aEra);
}

StoreEra
StoreKeys::NoteEra(const StreamOutcome& aOutcome)
{
  const Result<std::optional<StoreEra>> era = platform::EraOf(aOutcome);
  if (IsError(era)) {
    mLogger.Log(
      LogEvent(EventNumber::StoreEraUnreadable).WithError(ErrorOf(era)));
    return mEra;
  }
  const StoreEra reported = ValueOf(era).value_or(mEra);
  if (reported > mEra) {
    mEra = reported;
    mOnEra(reported);
  }
  return reported;
}

void
StoreKeys::NoteRead(const std::string& aKey, StoreEra aEra)
{
  static_cast<void>(TakeConditionEra(aKey));
  mReads.emplace_back(aKey, aEra);
  if (mReads.size() > kMaximumReads) {
    mReads.pop_front();
  }
}

StoreEra
StoreKeys::TakeConditionEra(const std::string& aKey)
{
  const auto read =
    std::find_if(mReads.begin(), mReads.end(), [&](const auto& aRead) {
      return aRead.first == aKey;
    });
  if (read == mReads.end()) {
    return mEra;
  }
  const StoreEra era = read->second;
  mReads.erase(read);
  return era;
}

Result<SwapOutcome>
StoreKeys::ToSwapOutcome(const StreamOutcome& aOutcome) const
{
  const platform::StoreResult<StoreRevision> writtenRevision =
    platform::WriteKeyResult(aOutcome);
  if (const StoreRevision* revision =
        std::get_if<StoreRevision>(&writtenRevision)) {
    return SwapOutcome{ SwapResult::Swapped, KeyRevision(revision->value()) };
  }
  switch (std::get<StoreFailure>(writtenRevision)) {
    case StoreFailure::HistoryCompacted:
      return SwapOutcome{ SwapResult::Conflict, KeyRevision() };
    case StoreFailure::Refused:
      // The store changed nothing, as if it had not been reached.
      return MakeError(ErrorCode::Unreachable);
    case StoreFailure::Unreachable:
    case StoreFailure::ConnectionClosed:
    case StoreFailure::ResponseTooLarge:
    case StoreFailure::ResponseInvalid:
      break;
  }
  return MakeError(ErrorCode::OutcomeUnknown);
}

Error
StoreKeys::MakeError(ErrorCode aCode) const
{
  return Error{ Step::Store, aCode, mHost, "the store did not answer" };
}

HttpClientStream&
StoreKeys::IdleStream()
{
  std::erase_if(mStreams, [](const std::unique_ptr<HttpClientStream>& aStream) {
    return aStream->IsBroken();
  });
  const auto idle =
    std::find_if(mStreams.begin(),
                 mStreams.end(),
                 [](const std::unique_ptr<HttpClientStream>& aStream) {
                   return aStream->IsReady();
                 });
  if (idle != mStreams.end()) {
    return **idle;
  }
  mStreams.push_back(
    std::make_unique<HttpClientStream>(mLoop, mStore, PeerTimeouts()));
  return *mStreams.back();
}

void
StoreKeys::Call(std::string aRequest, Done aDone)
{
  HttpClientStream::Exchange exchange;
  exchange.mRequest = std::move(aRequest);
  exchange.mTimeout = kCallTimeout;
  IdleStream().Send(std::move(exchange),
                    [this, done = std::move(aDone)](StreamOutcome aOutcome) {
                      // Deferred to the event loop, since the next call may
                      // destroy the stream that calls this.
                      mLoop.Defer(
                        [this, done, outcome = std::move(aOutcome)]() {
                          done(outcome, NoteEra(outcome));
                        });
                    });
}

} // namespace verbenachute
