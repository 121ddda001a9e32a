#include <LibHttp/HttpClientStream.h>
#include <LibHttp/HttpListener.h>

#include <arpa/inet.h>
#include <cerrno>
#include <doctest/doctest.h>
#include <list>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace verbenachute {

namespace {

constexpr ResponseIdentity kIdentity{ "Request-Id", "mine" };

/// A server on loopback that answers the first request of its only connection
/// with fixed bytes and then ends the connection as aEnding says.
class CannedResponseServer
{
public:
  enum class Ending
  {
    Close,
    Reset,
    Wait,
    /// Waits for the client to end the connection and records whether it was
    /// reset.
    DetectReset,
    /// Sends filler bytes until the client closes the connection.
    Flood,
  };

  CannedResponseServer(std::string aBytes, Ending aEnding)
  {
    mListener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(mListener,
                 reinterpret_cast<sockaddr*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(listen(mListener, 4) == 0);
    socklen_t size = sizeof(address);
    REQUIRE(getsockname(
              mListener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this, bytes = std::move(aBytes), aEnding]() {
      const int connection = accept(mListener, nullptr, nullptr);
      char buffer[4096];
      const ssize_t got = recv(connection, buffer, sizeof(buffer), 0);
      mHasReceived = got > 0;
      const ssize_t sent =
        send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (aEnding == Ending::Reset) {
        const linger now{ 1, 0 };
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      } else if (aEnding == Ending::Wait) {
        static_cast<void>(recv(connection, buffer, sizeof(buffer), 0));
      } else if (aEnding == Ending::DetectReset) {
        mReset = recv(connection, buffer, sizeof(buffer), 0) < 0 &&
                 errno == ECONNRESET;
      } else if (aEnding == Ending::Flood) {
        Flood(connection);
      }
      close(connection);
      static_cast<void>(sent);
    });
  }

  ~CannedResponseServer()
  {
    if (mThread.joinable()) {
      mThread.join();
    }
    close(mListener);
  }

  [[nodiscard]] SocketAddress Address() const
  {
    return SocketAddress{ "127.0.0.1", mPort };
  }

  /// Filler bytes that were sent. Waits until the client has disconnected.
  std::size_t AcceptedBytes()
  {
    mThread.join();
    return mAcceptedBytes;
  }

  /// Whether the client reset the connection. Waits until it has disconnected.
  bool WasReset()
  {
    mThread.join();
    return mReset;
  }

  /// Whether the client sent anything. Waits until it has disconnected.
  bool HasReceived()
  {
    mThread.join();
    return mHasReceived;
  }

private:
  void Flood(int aConnection)
  {
    const std::string piece(kChunkBytes, 'x');
    while (mAcceptedBytes < kMaximumFloodBytes) {
      const ssize_t sent =
        send(aConnection, piece.data(), piece.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return;
      }
      mAcceptedBytes += static_cast<std::size_t>(sent);
    }
  }

  static constexpr std::size_t kChunkBytes = 64UL * 1024;
  static constexpr std::size_t kMaximumFloodBytes = 256UL * 1024 * 1024;

  std::size_t mAcceptedBytes = 0;
  bool mReset = false;
  bool mHasReceived = false;
  int mListener = -1;
  std::uint16_t mPort = 0;
  std::thread mThread;
};

HttpClientStream::Exchange
ExampleExchange()
{
  HttpClientStream::Exchange exchange;
  exchange.mRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  exchange.mIdentity = kIdentity;
  return exchange;
}

StreamOutcome
OutcomeOf(const SocketAddress& aAddress, bool* aReusable = nullptr)
{
  const std::unique_ptr<EventLoop> loop = ReleaseValue(EventLoop::Create());
  HttpClientStream stream(*loop, aAddress, PeerTimeouts());
  StreamOutcome outcome = StreamFailure::TimedOut;
  stream.Send(ExampleExchange(), [&](StreamOutcome aOutcome) {
    outcome = std::move(aOutcome);
    loop->Stop();
  });
  loop->Run();
  if (aReusable != nullptr) {
    *aReusable = stream.IsReady();
  }
  return outcome;
}

std::string
Response(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + aId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

} // namespace

TEST_CASE("A late response to another request is skipped")
{
  CannedResponseServer server(Response("other", "old") +
                                Response("mine", "new"),
                              CannedResponseServer::Ending::Wait);
  bool reusable = false;
  const StreamOutcome outcome = OutcomeOf(server.Address(), &reusable);
  REQUIRE(std::holds_alternative<HttpResponse>(outcome));
  CHECK(std::get<HttpResponse>(outcome).mBody == "new");
  CHECK(reusable);
}

TEST_CASE("Bytes after a response break the connection, not the response")
{
  CannedResponseServer server(Response("mine", "new") +
                                Response("mine", "again"),
                              CannedResponseServer::Ending::Wait);
  bool reusable = true;
  const StreamOutcome outcome = OutcomeOf(server.Address(), &reusable);
  REQUIRE(std::holds_alternative<HttpResponse>(outcome));
  CHECK(std::get<HttpResponse>(outcome).mBody == "new");
  CHECK(!reusable);
}

TEST_CASE("A response without length is complete at a close, not at a reset")
{
  const std::string bytes =
    "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nConnection: close\r\n\r\npart";
  {
    CannedResponseServer server(bytes, CannedResponseServer::Ending::Close);
    const StreamOutcome outcome = OutcomeOf(server.Address());
    REQUIRE(std::holds_alternative<HttpResponse>(outcome));
    CHECK(std::get<HttpResponse>(outcome).mBody == "part");
  }
  {
    CannedResponseServer server(bytes, CannedResponseServer::Ending::Reset);
    CHECK(std::holds_alternative<StreamFailure>(OutcomeOf(server.Address())));
  }
}

// Guards against a body that breaks off and is passed on as the whole one,
// since the field that told its length was damaged (review/14).
TEST_CASE("A response with a damaged length is no response, however it ends")
{
  for (const char* field : { "Content Length: 9",
                             "Content-Length : 9",
                             "Content-Lengtx: 9",
                             "Content-Length\x01: 9",
                             "Content-Length 9",
                             "X: y\r\n Content-Length: 9",
                             "Transfer-Encoding: chunkex" }) {
    CAPTURE(field);
    CannedResponseServer server(
      std::string("HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n") + field +
        "\r\n\r\npart",
      CannedResponseServer::Ending::Close);
    bool reusable = true;
    const StreamOutcome outcome = OutcomeOf(server.Address(), &reusable);
    REQUIRE(std::holds_alternative<StreamFailure>(outcome));
    CHECK(std::get<StreamFailure>(outcome) == StreamFailure::Malformed);
    CHECK(!reusable);
  }
}

TEST_CASE("A refused connection has sent nothing")
{
  const SocketAddress unusedAddress{ "127.0.0.1", 1 };
  const StreamOutcome outcome = OutcomeOf(unusedAddress);
  REQUIRE(std::holds_alternative<StreamFailure>(outcome));
  CHECK(std::get<StreamFailure>(outcome) == StreamFailure::NotConnected);
}

TEST_CASE("A request that is aborted before its connection is made is not sent")
{
  CannedResponseServer aborted("", CannedResponseServer::Ending::Wait);
  CannedResponseServer other(Response("mine", "body"),
                             CannedResponseServer::Ending::Close);
  bool hasEnded = false;
  {
    const std::unique_ptr<EventLoop> loop = ReleaseValue(EventLoop::Create());
    HttpClientStream stream(*loop, aborted.Address(), PeerTimeouts());
    stream.Send(ExampleExchange(),
                [&](const StreamOutcome&) { hasEnded = true; });
    CHECK(!stream.WasConnected());
    stream.Abort();
    // By the end of this exchange the other connection has been made.
    HttpClientStream later(*loop, other.Address(), PeerTimeouts());
    later.Send(ExampleExchange(), [&](const StreamOutcome&) { loop->Stop(); });
    loop->Run();
  }
  CHECK(!aborted.HasReceived());
  CHECK(!hasEnded);
}

TEST_CASE("A truncated response is a failure")
{
  CannedResponseServer server(
    "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 9\r\n\r\npart",
    CannedResponseServer::Ending::Close);
  const StreamOutcome outcome = OutcomeOf(server.Address());
  REQUIRE(std::holds_alternative<StreamFailure>(outcome));
  CHECK(std::get<StreamFailure>(outcome) ==
        StreamFailure::ClosedDuringResponse);
}

// Guards against a response that was cut within its head and is passed on as a
// whole one without a body.
TEST_CASE("A response that ends within its head is a failure, wherever it ends")
{
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n"
                           "Server-Stamp: s\r\nConnection: close\r\n\r\n";
  for (std::size_t size = 0; size < head.size(); ++size) {
    CAPTURE(size);
    CannedResponseServer server(head.substr(0, size),
                                CannedResponseServer::Ending::Close);
    const StreamOutcome outcome = OutcomeOf(server.Address());
    REQUIRE(std::holds_alternative<StreamFailure>(outcome));
    CHECK(std::get<StreamFailure>(outcome) ==
          (size == 0 ? StreamFailure::ClosedBeforeResponse
                     : StreamFailure::ClosedDuringResponse));
  }
}

TEST_CASE(
  "A connection is reset if its request is abandoned, and closed if idle")
{
  const std::unique_ptr<EventLoop> loop = ReleaseValue(EventLoop::Create());
  const auto wasResetAfter = [&](const std::string& aAnswer,
                                 Duration aTimeout) {
    CannedResponseServer server(aAnswer,
                                CannedResponseServer::Ending::DetectReset);
    {
      HttpClientStream stream(*loop, server.Address(), PeerTimeouts());
      HttpClientStream::Exchange exchange;
      exchange.mRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
      exchange.mTimeout = aTimeout;
      Timer abortTimer(*loop, [&]() { loop->Stop(); });
      abortTimer.Start(milliseconds(200));
      stream.Send(std::move(exchange),
                  [&](const StreamOutcome&) { loop->Stop(); });
      loop->Run();
    }
    // The socket is closed by a deferred task of the loop.
    Timer closed(*loop, [&]() { loop->Stop(); });
    closed.Start(Duration(0));
    loop->Run();
    return server.WasReset();
  };
  // Cancelled while it runs, timed out, and completed.
  CHECK(wasResetAfter("", seconds(5)));
  CHECK(wasResetAfter("", milliseconds(50)));
  CHECK(!wasResetAfter(Response("mine", "new"), seconds(5)));
}

TEST_CASE("An endless response fails within bounded memory")
{
  const struct
  {
    const char* mPrefix;
    /// Largest number of bytes that may be sent before the exchange fails,
    /// including what the socket buffers of both sides hold.
    std::size_t mMaximumAcceptedBytes;
    StreamFailure mFailure;
  } floods[] = {
    { "", 16UL * 1024 * 1024, StreamFailure::Malformed },
    { "HTTP/1.1 200 OK\r\nEndless: ",
      16UL * 1024 * 1024,
      StreamFailure::TooLarge },
    { "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nConnection: close\r\n\r\n",
      24UL * 1024 * 1024,
      StreamFailure::TooLarge },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
      24UL * 1024 * 1024,
      StreamFailure::TooLarge },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
      24UL * 1024 * 1024,
      StreamFailure::TooLarge },
  };
  for (const auto& flood : floods) {
    CAPTURE(flood.mPrefix);
    CannedResponseServer server(flood.mPrefix,
                                CannedResponseServer::Ending::Flood);
    bool reusable = true;
    const StreamOutcome outcome = OutcomeOf(server.Address(), &reusable);
    REQUIRE(std::holds_alternative<StreamFailure>(outcome));
    CHECK(std::get<StreamFailure>(outcome) == flood.mFailure);
    CHECK(!reusable);
    CHECK(server.AcceptedBytes() < flood.mMaximumAcceptedBytes);
  }
}

// Guards against targets that send without end, each less than a response may
// have, and together take all memory of the process.
TEST_CASE("Endless responses share bounded memory, and small ones complete")
{
  constexpr std::size_t kLimit = 8UL * 1024 * 1024;
  constexpr std::size_t kEndlessBytes = 3UL * 1024 * 1024;
  constexpr std::size_t kEndless = 12;
  constexpr std::size_t kMinimumGivenUp = kEndless - kLimit / kEndlessBytes;
  // Sockets of streams are closed by the loop, for which the servers wait.
  std::list<CannedResponseServer> servers;
  const std::unique_ptr<EventLoop> loop = ReleaseValue(EventLoop::Create());
  ReceiveBudget budget(kLimit);
  std::list<HttpClientStream> streams;
  std::size_t givenUp = 0;
  std::size_t ended = 0;
  bool isSmallComplete = false;
  const auto send = [&](const std::string& aResponse, auto aDone) {
    servers.emplace_back(aResponse, CannedResponseServer::Ending::Wait);
    streams.emplace_back(
      *loop, servers.back().Address(), PeerTimeouts(), &budget);
    streams.back().Send(ExampleExchange(), aDone);
  };
  const auto stopWhenDone = [&]() {
    CHECK(budget.Held() <= kLimit);
    if (ended == kEndless || (givenUp >= kMinimumGivenUp && isSmallComplete)) {
      loop->Stop();
    }
  };
  for (std::size_t i = 0; i < kEndless; ++i) {
    send("HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nConnection: close\r\n\r\n" +
           std::string(kEndlessBytes, 'x'),
         [&](const StreamOutcome& aOutcome) {
           ++ended;
           const StreamFailure* failure = std::get_if<StreamFailure>(&aOutcome);
           REQUIRE(failure != nullptr);
           givenUp += *failure == StreamFailure::TooLarge ? 1 : 0;
           stopWhenDone();
         });
  }
  const std::string body(64UL * 1024, 'y');
  send(Response("mine", body), [&](const StreamOutcome& aOutcome) {
    const HttpResponse* response = std::get_if<HttpResponse>(&aOutcome);
    REQUIRE(response != nullptr);
    CHECK(response->mBody == body);
    isSmallComplete = true;
    stopWhenDone();
  });
  loop->Run();
  CHECK(givenUp >= kMinimumGivenUp);
  CHECK(isSmallComplete);
  streams.clear();
  CHECK(budget.Held() == 0);
}

// Guards against a body that is held once for each shard, and once more by each
// connection that is idle afterwards.
TEST_CASE("Exchanges share a body, which idle connections do not keep")
{
  // Large enough not to be copied, and small enough for one segment.
  constexpr std::size_t kBodyBytes = 2048;
  constexpr std::size_t kExchanges = 8;
  std::list<CannedResponseServer> servers;
  const std::unique_ptr<EventLoop> loop = ReleaseValue(EventLoop::Create());
  SharedText body = std::make_shared<const std::string>(kBodyBytes, 'b');
  const std::weak_ptr<const std::string> observer = body;
  std::list<HttpClientStream> streams;
  std::size_t complete = 0;
  for (std::size_t i = 0; i < kExchanges; ++i) {
    servers.emplace_back(Response("mine", "new"),
                         CannedResponseServer::Ending::Wait);
    streams.emplace_back(*loop, servers.back().Address(), PeerTimeouts());
    HttpClientStream::Exchange exchange = ExampleExchange();
    exchange.mSharedHead =
      std::make_shared<const std::string>("POST / HTTP/1.1\r\n");
    exchange.mRequest = SerializeRequestEnd("POST", HttpFields(), kBodyBytes);
    exchange.mSharedBody = body;
    streams.back().Send(std::move(exchange),
                        [&](const StreamOutcome& aOutcome) {
                          CHECK(std::holds_alternative<HttpResponse>(aOutcome));
                          if (++complete == kExchanges) {
                            loop->Stop();
                          }
                        });
  }
  body.reset();
  CHECK(!observer.expired());
  loop->Run();
  for (const HttpClientStream& stream : streams) {
    CHECK(stream.IsReady());
  }
  CHECK(observer.expired());
}

} // namespace verbenachute
