#include "EndlessServer.h"

#include <LibCore/SocketAddressText.h>
#include <LibTransport/SocketOptions.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <iterator>
#include <string>

namespace verbenachute::standins {

namespace {

constexpr int kBacklog = 64;
constexpr std::size_t kPieceBytes = 64UL * 1024;
// Bounds the load of one fault; then the connections stay silent.
constexpr std::size_t kMaximumBytes = 256UL * 1024 * 1024;
constexpr const char* kBeginnings[] = {
  "HTTP/1.1 200 OK\r\nEndless: ",
  "HTTP/1.1 200 OK\r\nServer-Stamp: endless\r\nConnection: close\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
  "",
};

} // namespace

Result<std::unique_ptr<EndlessServer>>
EndlessServer::Create(EventLoop& aLoop, const SocketAddress& aAddress)
{
  std::unique_ptr<EndlessServer> server(new EndlessServer(aLoop));
  sockaddr_in address = SocketAddressOf(aAddress);
  server->mListener = evconnlistener_new_bind(
    aLoop.Base(),
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      static_cast<EndlessServer*>(aSelf)->Accept(static_cast<int>(aSocket));
    },
    server.get(),
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
    kBacklog,
    reinterpret_cast<sockaddr*>(&address),
    sizeof(address));
  if (server->mListener == nullptr) {
    return Error{ Step::Settings,
                  ErrorCode::Unavailable,
                  SocketAddressText(aAddress),
                  "the address can not be bound" };
  }
  return server;
}

EndlessServer::~EndlessServer()
{
  if (mListener != nullptr) {
    evconnlistener_free(mListener);
  }
  for (bufferevent* stream : mStreams) {
    bufferevent_free(stream);
  }
}

void
EndlessServer::Accept(int aSocket)
{
  bufferevent* stream =
    bufferevent_socket_new(mLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  mStreams.insert(stream);
  bufferevent_setcb(stream,
                    &EndlessServer::OnRequest,
                    &EndlessServer::OnWritten,
                    &EndlessServer::OnEvent,
                    this);
  bufferevent_enable(stream, EV_READ | EV_WRITE);
}

void
EndlessServer::OnRequest(bufferevent* aStream, void* aSelf)
{
  EndlessServer* self = static_cast<EndlessServer*>(aSelf);
  evbuffer* input = bufferevent_get_input(aStream);
  evbuffer_drain(input, evbuffer_get_length(input));
  const std::string beginning =
    kBeginnings[self->mAnswers++ % std::size(kBeginnings)];
  bufferevent_write(aStream, beginning.data(), beginning.size());
  self->Fill(aStream);
}

void
EndlessServer::OnWritten(bufferevent* aStream, void* aSelf)
{
  EndlessServer* self = static_cast<EndlessServer*>(aSelf);
  if (self->mAnswers > 0) {
    self->Fill(aStream);
  }
}

void
EndlessServer::OnEvent(bufferevent* aStream, short, void* aSelf)
{
  static_cast<EndlessServer*>(aSelf)->mStreams.erase(aStream);
  bufferevent_free(aStream);
}

void
EndlessServer::Fill(bufferevent* aStream)
{
  if (mBytes >= kMaximumBytes) {
    return;
  }
  const std::string piece(kPieceBytes, 'x');
  mBytes += piece.size();
  bufferevent_write(aStream, piece.data(), piece.size());
}

} // namespace verbenachute::standins
