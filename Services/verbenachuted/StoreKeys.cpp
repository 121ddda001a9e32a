#include "StoreKeys.h"

#include <LibCore/SocketAddressText.h>

#include <platform/StoreWire.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace verbenachute {

namespace {

// Less than the 2 s after which a ConfigurationWriter abandons a call.
constexpr Duration kCallTimeout = milliseconds(1900);

} // namespace

StoreKeys::StoreKeys(EventLoop& aLoop, const SocketAddress& aStore)
  : mLoop(aLoop)
  , mStore(aStore)
  , mHost(SocketAddressText(aStore))
{
}

void
StoreKeys::Read(const std::string& aKey, ReadDone aDone)
{
  Call(platform::ReadKeyCall(mHost, aKey),
       [this, done = std::move(aDone)](const StreamOutcome& aOutcome) {
         const platform::StoreResult<std::optional<StoreItem>> readItem =
           platform::ReadKeyResult(aOutcome);
         if (std::holds_alternative<StoreFailure>(readItem)) {
           done(MakeError(ErrorCode::Unavailable));
           return;
         }
         const std::optional<StoreItem>& item =
           std::get<std::optional<StoreItem>>(readItem);
         done(item ? std::optional<StoredValue>(StoredValue{
                       item->mValue, KeyRevision(item->mRevision.value()) })
                   : std::nullopt);
       });
}

void
StoreKeys::CompareAndSwap(const std::string& aKey,
                          const std::string& aValue,
                          KeyRevision aExpected,
                          SwapDone aDone)
{
  Call(platform::WriteKeyCall(mHost,
                              aKey,
                              aValue,
                              StoreRevision(aExpected.value()),
                              platform::LeaseId()),
       [this, done = std::move(aDone)](const StreamOutcome& aOutcome) {
         done(ToSwapOutcome(aOutcome));
       });
}

void
StoreKeys::CompareAndSwapAll(
  const std::vector<std::pair<std::string, std::string>>& aWrites,
  KeyRevision aExpected,
  SwapDone aDone)
{
  Call(
    platform::WriteKeysCall(mHost, aWrites, StoreRevision(aExpected.value())),
    [this, done = std::move(aDone)](const StreamOutcome& aOutcome) {
      done(ToSwapOutcome(aOutcome));
    });
}

void
StoreKeys::Remove(const std::string& aKey,
                  KeyRevision aExpected,
                  SwapDone aDone)
{
  Call(platform::RemoveKeyCall(mHost, aKey, StoreRevision(aExpected.value())),
       [this, done = std::move(aDone)](const StreamOutcome& aOutcome) {
         done(ToSwapOutcome(aOutcome));
       });
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
StoreKeys::Call(std::string aRequest,
                std::function<void(const StreamOutcome&)> aDone)
{
  HttpClientStream::Exchange exchange;
  exchange.mRequest = std::move(aRequest);
  exchange.mTimeout = kCallTimeout;
  IdleStream().Send(
    std::move(exchange),
    [this, done = std::move(aDone)](StreamOutcome aOutcome) {
      // Deferred to the event loop, since the next call may destroy the
      // stream that calls this.
      mLoop.Defer([done, outcome = std::move(aOutcome)]() { done(outcome); });
    });
}

} // namespace verbenachute
