#pragma once

#include <LibHttp/HttpClientStream.h>
#include <LibObservation/Logger.h>
#include <LibPlatform/KeyValueStore.h>
#include <LibStore/StoreItem.h>
#include <LibTransport/EventLoop.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace verbenachute {

/// Reads and writes single keys of the platform's store for changes by
/// operators. Each pending call uses its own connection; idle connections are
/// reused.
class StoreKeys final : public KeyValueStore
{
public:
  /// aOnEra is called with the era of each response.
  StoreKeys(EventLoop& aLoop,
            Logger& aLogger,
            const SocketAddress& aStore,
            std::function<void(StoreEra)> aOnEra);

  /// Another part of this node has learned the era.
  void OnEra(StoreEra aEra);

  void Read(const std::string& aKey, ReadDone aDone) override;
  void CompareAndSwap(const std::string& aKey,
                      const std::string& aValue,
                      KeyRevision aExpected,
                      SwapDone aDone) override;
  /// Writes several keys in one transaction, if the first one has the expected
  /// revision.
  void CompareAndSwapAll(
    const std::vector<std::pair<std::string, std::string>>& aWrites,
    KeyRevision aExpected,
    SwapDone aDone);
  void Remove(const std::string& aKey,
              KeyRevision aExpected,
              SwapDone aDone) override;

private:
  using Done = std::function<void(const StreamOutcome&, StoreEra)>;

  void Call(std::string aRequest, Done aDone);
  /// Makes a conditional write. A condition that was read in an earlier era is
  /// void, so its write is not sent.
  void Write(const std::string& aKey, std::string aRequest, SwapDone aDone);
  /// The era that a response reports, or the one known so far.
  [[nodiscard]] StoreEra NoteEra(const StreamOutcome& aOutcome);
  void NoteRead(const std::string& aKey, StoreEra aEra);
  /// The era in which the condition of a write was read.
  [[nodiscard]] StoreEra TakeConditionEra(const std::string& aKey);
  [[nodiscard]] Result<SwapOutcome> ToSwapOutcome(
    const StreamOutcome& aOutcome) const;
  [[nodiscard]] Error MakeError(ErrorCode aCode) const;
  [[nodiscard]] HttpClientStream& IdleStream();

  EventLoop& mLoop;
  SocketAddress mStore;
  std::string mHost;
  Logger& mLogger;
  std::function<void(StoreEra)> mOnEra;
  StoreEra mEra;
  /// The keys read last with the era of the response.
  std::deque<std::pair<std::string, StoreEra>> mReads;
  std::vector<std::unique_ptr<HttpClientStream>> mStreams;
};

} // namespace verbenachute
