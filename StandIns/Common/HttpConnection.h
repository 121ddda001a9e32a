#pragma once

#include <Common/HttpRequest.h>

#include <cstddef>
#include <string>

struct bufferevent;
struct event_base;

namespace verbenachute::standins {

class HttpServer;

/// One accepted connection with at most one open exchange.
class HttpConnection
{
public:
  HttpConnection(HttpServer& aServer,
                 ConnectionId aId,
                 event_base* aBase,
                 int aSocket);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  void StartReading();
  void Reply(int aStatus, const std::string& aType, const std::string& aBody);

private:
  enum class Progress
  {
    NeedsMore,
    Complete,
    Malformed,
  };

  static void InputArrived(bufferevent* aBuffer, void* aConnection);
  static void OutputDrained(bufferevent* aBuffer, void* aConnection);
  static void EventArrived(bufferevent* aBuffer,
                           short aEvents,
                           void* aConnection);

  void ReadInput();
  Progress ReadHead();
  Progress ReadHeaderLine(const std::string& aLine);
  Progress ReadBody();
  Progress ReadTarget(const std::string& aTarget);
  void DropSelf();

  HttpServer& mServer;
  ConnectionId mId;
  bufferevent* mBuffer = nullptr;
  HttpRequest mRequest;
  std::size_t mBodyLength = 0;
  bool mHeadRead = false;
  bool mExchangeOpen = false;
  bool mCloseAfterReply = false;
};

} // namespace verbenachute::standins
