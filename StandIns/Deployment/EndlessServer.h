#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibTransport/EventLoop.h>

#include <cstddef>
#include <memory>
#include <set>

struct bufferevent;
struct evconnlistener;

namespace verbenachute::standins {

/// A faulty process at the address of a searcher: it answers whatever arrives
/// with bytes that never become an answer, in a head or in a body in turn,
/// until the caller closes the connection.
class EndlessServer
{
public:
  [[nodiscard]] static Result<std::unique_ptr<EndlessServer>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress);
  /// Closes all connections.
  ~EndlessServer();
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

private:
  explicit EndlessServer(EventLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  void Accept(int aSocket);
  static void OnRequest(bufferevent* aStream, void* aSelf);
  static void OnWritten(bufferevent* aStream, void* aSelf);
  static void OnEvent(bufferevent* aStream, short aWhat, void* aSelf);
  /// Queues more bytes unless the load bound is reached.
  void Fill(bufferevent* aStream);

  EventLoop& mLoop;
  evconnlistener* mListener = nullptr;
  std::set<bufferevent*> mStreams;
  std::size_t mAnswers = 0;
  std::size_t mBytes = 0;
};

} // namespace verbenachute::standins
