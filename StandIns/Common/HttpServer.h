#pragma once

#include <Common/EventLoop.h>
#include <Common/HttpConnection.h>
#include <Common/HttpHandler.h>

#include <LibCore/Identifiers.h>

#include <json/value.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace verbenachute::standins {

/// HTTP/1.1 server of one address. It is no evhttp server, because that one
/// accepts every connection and hides it until the first request, and a
/// searcher must close connections above its cap before it reads a byte.
class HttpServer
{
public:
  /// Ends the process if the address can't be bound: a stand-in without its
  /// port is of no use.
  HttpServer(EventLoop& aLoop, SocketAddress aAddress, HttpHandler& aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Time from the acceptance of a connection to the first read from it.
  void SetConnectCost(Duration aCost) { mConnectCost = aCost; }
  [[nodiscard]] std::size_t OpenConnections() const
  {
    return mConnections.size();
  }

  /// Answers the request that is open on the connection; a connection that
  /// has gone is no error.
  void Reply(ConnectionId aConnection, int aStatus, const Json::Value& aBody);
  void ReplyText(ConnectionId aConnection,
                 int aStatus,
                 const std::string& aBody);
  /// Closes a connection without a reply.
  void Drop(ConnectionId aConnection);
  void DropAll();

  /// Listens again; new connections are refused by the kernel in between.
  void Open();
  void Close();

private:
  friend class HttpConnection;

  static void Accepted(evconnlistener* aListener,
                       int aSocket,
                       sockaddr* aPeer,
                       int aPeerLength,
                       void* aServer);
  void AddConnection(int aSocket);

  EventLoop& mLoop;
  SocketAddress mAddress;
  HttpHandler& mHandler;
  Duration mConnectCost{ 0 };
  evconnlistener* mListener = nullptr;
  std::uint64_t mLastConnection = 0;
  std::map<ConnectionId, std::shared_ptr<HttpConnection>> mConnections;
};

} // namespace verbenachute::standins
