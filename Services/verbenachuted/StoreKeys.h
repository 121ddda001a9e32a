#pragma once

#include <LibHttp/HttpClientStream.h>
#include <LibPlatform/KeyValueStore.h>
#include <LibTransport/EventLoop.h>

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
  StoreKeys(EventLoop& aLoop, const SocketAddress& aStore);

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
  void Call(std::string aRequest,
            std::function<void(const StreamOutcome&)> aDone);
  [[nodiscard]] Result<SwapOutcome> ToSwapOutcome(
    const StreamOutcome& aOutcome) const;
  [[nodiscard]] Error MakeError(ErrorCode aCode) const;
  [[nodiscard]] HttpClientStream& IdleStream();

  EventLoop& mLoop;
  SocketAddress mStore;
  std::string mHost;
  std::vector<std::unique_ptr<HttpClientStream>> mStreams;
};

} // namespace verbenachute
