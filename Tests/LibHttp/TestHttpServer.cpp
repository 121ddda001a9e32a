#include <LibHttp/HttpClientStream.h>
#include <LibHttp/HttpServer.h>
#include <LibHttp/HttpText.h>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <variant>

namespace verbenachute {

namespace {

/// A port on loopback that was free a moment ago.
std::uint16_t
FreePort()
{
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  REQUIRE(bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0);
  REQUIRE(getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) ==
          0);
  close(probe);
  return ntohs(address.sin_port);
}

/// A server that repeats what it has understood of a request.
class Fixture
{
protected:
  Fixture()
  {
    HttpLimits limits;
    limits.mBodyBytes = 16;
    mServer =
      ReleaseValue(HttpServer::Create(*mLoop, mAddress, limits, mResources));
    mServer->RequestArrived().connect(
      [](const std::shared_ptr<HttpExchange>& aExchange) {
        const HttpRequest& request = aExchange->Request();
        std::string text = request.mPath + "|" + request.mBody;
        for (const auto& [name, value] : request.mParameters) {
          text += "|" + name + "=" + value;
        }
        aExchange->Reply(HttpReply{ 200, "text/plain", text });
      });
  }

  HttpResponse Ask(const std::string& aMethod,
                   const std::string& aTarget,
                   const std::string& aBody = "")
  {
    HttpClientStream stream(*mLoop, mAddress, PeerTimeouts());
    HttpClientStream::Exchange exchange;
    exchange.mRequest = SerializeRequest(aMethod, aTarget, HttpFields(), aBody);
    HttpResponse response;
    stream.Send(std::move(exchange), [&](StreamOutcome aOutcome) {
      REQUIRE(std::holds_alternative<HttpResponse>(aOutcome));
      response = std::get<HttpResponse>(std::move(aOutcome));
      mLoop->Stop();
    });
    mLoop->Run();
    return response;
  }

  MemoryBudget mMemory{ 64UL * 1024,
                        [](const MemoryBudget::Eviction&) {},
                        []() {} };
  const ClientResources mResources{ &mMemory, 4, []() {} };
  const std::unique_ptr<EventLoop> mLoop = ReleaseValue(EventLoop::Create());
  const SocketAddress mAddress{ "127.0.0.1", FreePort() };
  std::unique_ptr<HttpServer> mServer;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "Path and parameters of a request are decoded")
{
  const HttpResponse response = Ask("POST", "/a%20b?x=1%2F2&y=", "body");
  CHECK(response.mStatus == 200);
  CHECK(response.mBody == "/a b|body|x=1/2|y=");
  CHECK(*response.mFields.Find("Content-Type") == "text/plain");
}

TEST_CASE_FIXTURE(Fixture, "Requests that the server does not take are refused")
{
  CHECK(Ask("PATCH", "/").mStatus == 501);
  CHECK(Ask("POST", "/", std::string(17, 'x')).mStatus == 413);
}

// Guards against connections of operators that no account knows.
TEST_CASE_FIXTURE(Fixture, "Connections are charged to the account")
{
  CHECK(mMemory.Held() == 0);
  HttpClientStream idle(*mLoop, mAddress, PeerTimeouts());
  CHECK(Ask("GET", "/").mStatus == 200);
  CHECK(mMemory.Held() > 0);
}

} // namespace verbenachute
