#include <Common/HttpServer.h>

#include <Common/JsonText.h>
#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>

#include <event2/listener.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <netinet/tcp.h>

namespace verbenachute::standins {

namespace {

constexpr int kBacklog = 512;

sockaddr_in
KernelAddress(const SocketAddress& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  VERIFY(inet_pton(AF_INET, aAddress.mHost.c_str(), &address.sin_addr) == 1);
  return address;
}

} // namespace

HttpServer::HttpServer(EventLoop& aLoop,
                       SocketAddress aAddress,
                       HttpHandler& aHandler)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mHandler(aHandler)
{
  Open();
}

HttpServer::~HttpServer()
{
  Close();
}

void
HttpServer::Open()
{
  if (mListener) {
    return;
  }
  sockaddr_in address = KernelAddress(mAddress);
  mListener = evconnlistener_new_bind(
    mLoop.Base(),
    &Accepted,
    this,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
    kBacklog,
    reinterpret_cast<sockaddr*>(&address),
    sizeof(address));
  if (!mListener) {
    std::fprintf(
      stderr, "cannot listen on %s\n", SocketAddressText(mAddress).c_str());
    std::exit(EXIT_FAILURE);
  }
}

void
HttpServer::Close()
{
  if (mListener) {
    evconnlistener_free(mListener);
    mListener = nullptr;
  }
}

void
HttpServer::Accepted(evconnlistener*,
                     int aSocket,
                     sockaddr*,
                     int,
                     void* aServer)
{
  static_cast<HttpServer*>(aServer)->AddConnection(aSocket);
}

void
HttpServer::AddConnection(int aSocket)
{
  if (mHandler.ConnectionArrived(mConnections.size()) == Acceptance::Close) {
    evutil_closesocket(aSocket);
    return;
  }
  const int enabled = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  const ConnectionId id(++mLastConnection);
  const std::shared_ptr<HttpConnection> connection =
    std::make_shared<HttpConnection>(*this, id, mLoop.Base(), aSocket);
  mConnections.emplace(id, connection);
  if (mConnectCost == Duration::zero()) {
    connection->StartReading();
    return;
  }
  mLoop.After(mConnectCost,
              [weak = std::weak_ptr<HttpConnection>(connection)]() {
                if (const auto opened = weak.lock()) {
                  opened->StartReading();
                }
              });
}

void
HttpServer::Reply(ConnectionId aConnection,
                  int aStatus,
                  const Json::Value& aBody)
{
  const auto found = mConnections.find(aConnection);
  if (found != mConnections.end()) {
    found->second->Reply(aStatus, "application/json", JsonText(aBody));
  }
}

void
HttpServer::ReplyText(ConnectionId aConnection,
                      int aStatus,
                      const std::string& aBody)
{
  const auto found = mConnections.find(aConnection);
  if (found != mConnections.end()) {
    found->second->Reply(aStatus, "text/plain", aBody);
  }
}

void
HttpServer::Drop(ConnectionId aConnection)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  // The connection may be the caller of this function, so it is kept until
  // the loop has left it.
  mLoop.After(Duration::zero(), [kept = found->second]() {});
  mConnections.erase(found);
}

void
HttpServer::DropAll()
{
  while (!mConnections.empty()) {
    Drop(mConnections.begin()->first);
  }
}

} // namespace verbenachute::standins
