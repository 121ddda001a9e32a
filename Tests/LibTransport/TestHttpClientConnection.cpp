#include <LibTransport/HttpClientConnection.h>

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <optional>
#include <string>

namespace verbenachute {

namespace {

// How the server reacts to a request.
enum class ServerBehavior
{
  CloseWithoutReply,
  ReplyThenClose,
};

// Listens on a free port, counts the requests that arrive and closes the
// connections as aBehavior says.
class ClosingServer
{
public:
  ClosingServer(EventLoop& aLoop, ServerBehavior aBehavior)
    : mLoop(aLoop)
    , mBehavior(aBehavior)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    mListener = evconnlistener_new_bind(
      aLoop.Base(),
      [](
        evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
        static_cast<ClosingServer*>(aSelf)->Accept(aSocket);
      },
      this,
      LEV_OPT_CLOSE_ON_FREE,
      -1,
      reinterpret_cast<sockaddr*>(&address),
      sizeof(address));
  }

  ~ClosingServer() { evconnlistener_free(mListener); }

  [[nodiscard]] SocketAddress Address() const
  {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(evconnlistener_get_fd(mListener),
                reinterpret_cast<sockaddr*>(&address),
                &size);
    return SocketAddress{ "127.0.0.1", ntohs(address.sin_port) };
  }

  int mRequests = 0;

private:
  void Accept(evutil_socket_t aSocket)
  {
    bufferevent* stream =
      bufferevent_socket_new(mLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
      stream,
      [](bufferevent* aStream, void* aSelf) {
        static_cast<ClosingServer*>(aSelf)->Read(aStream);
      },
      [](bufferevent* aStream, void*) { bufferevent_free(aStream); },
      [](bufferevent* aStream, short, void*) { bufferevent_free(aStream); },
      this);
    bufferevent_enable(stream, EV_READ);
  }

  void Read(bufferevent* aStream)
  {
    ++mRequests;
    evbuffer* input = bufferevent_get_input(aStream);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (mBehavior == ServerBehavior::CloseWithoutReply) {
      bufferevent_free(aStream);
      return;
    }
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    bufferevent_write(aStream, reply.data(), reply.size());
    bufferevent_enable(aStream, EV_WRITE);
  }

  EventLoop& mLoop;
  ServerBehavior mBehavior;
  evconnlistener* mListener = nullptr;
};

HttpRequest
SampleRequest()
{
  HttpRequest request;
  request.mMethod = HttpMethod::Post;
  request.mPath = "/v1/query";
  request.mBody = "{}";
  return request;
}

HttpOutcome
Exchange(EventLoop& aLoop, HttpClientConnection& aConnection)
{
  std::optional<HttpOutcome> outcome;
  aConnection.Send(
    SampleRequest(), seconds(20), [&](const HttpOutcome& aOutcome) {
      outcome = aOutcome;
      aLoop.Stop();
    });
  aLoop.Run();
  return *outcome;
}

} // namespace

TEST_CASE("A request whose connection closes is not sent a second time")
{
  Result<std::unique_ptr<EventLoop>> loopResult = EventLoop::Create();
  EventLoop& loop = *std::get<0>(loopResult);
  ClosingServer server(loop, ServerBehavior::CloseWithoutReply);
  HttpClientConnection connection(loop, server.Address());
  const HttpOutcome outcome = Exchange(loop, connection);
  REQUIRE(std::holds_alternative<HttpFailure>(outcome));
  CHECK(std::get<HttpFailure>(outcome).mExecution == Execution::OutcomeUnknown);
  CHECK(!connection.IsUsable());
  CHECK(server.mRequests == 1);
}

TEST_CASE("Each request reaches a server that closes idle connections once")
{
  Result<std::unique_ptr<EventLoop>> loopResult = EventLoop::Create();
  EventLoop& loop = *std::get<0>(loopResult);
  ClosingServer server(loop, ServerBehavior::ReplyThenClose);
  int sent = 0;
  int unknown = 0;
  std::unique_ptr<HttpClientConnection> connection;
  for (; sent < 20; ++sent) {
    if (connection == nullptr || !connection->IsUsable()) {
      connection =
        std::make_unique<HttpClientConnection>(loop, server.Address());
    }
    const HttpOutcome outcome = Exchange(loop, *connection);
    if (const HttpFailure* failure = std::get_if<HttpFailure>(&outcome)) {
      CHECK(failure->mExecution == Execution::OutcomeUnknown);
      ++unknown;
    }
  }
  // A request that was sent on a closing connection may or may not have
  // arrived, but none has arrived twice.
  CHECK(server.mRequests <= sent);
  CHECK(server.mRequests >= sent - unknown);
}

TEST_CASE("A refused connection leaves the request not run")
{
  Result<std::unique_ptr<EventLoop>> loopResult = EventLoop::Create();
  EventLoop& loop = *std::get<0>(loopResult);
  SocketAddress closed;
  {
    ClosingServer server(loop, ServerBehavior::ReplyThenClose);
    closed = server.Address();
  }
  HttpClientConnection connection(loop, closed);
  const HttpOutcome outcome = Exchange(loop, connection);
  REQUIRE(std::holds_alternative<HttpFailure>(outcome));
  CHECK(std::get<HttpFailure>(outcome).mExecution == Execution::NotRun);
  CHECK(std::get<HttpFailure>(outcome).mCause ==
        HttpFailureCause::NotConnected);
}

TEST_CASE("A connection may be destroyed within its own callback")
{
  Result<std::unique_ptr<EventLoop>> loopResult = EventLoop::Create();
  EventLoop& loop = *std::get<0>(loopResult);
  ClosingServer server(loop, ServerBehavior::ReplyThenClose);
  std::unique_ptr<HttpClientConnection> connection =
    std::make_unique<HttpClientConnection>(loop, server.Address());
  connection->Send(SampleRequest(), seconds(20), [&](const HttpOutcome&) {
    connection.reset();
    loop.Defer([&loop]() { loop.Stop(); });
  });
  loop.Run();
  CHECK(connection == nullptr);
  CHECK(server.mRequests == 1);
}

} // namespace verbenachute
