#pragma once

#include <LibHttp/HttpCall.h>
#include <LibHttp/MessageReader.h>

#include <LibTransport/EventLoop.h>
#include <LibTransport/Timer.h>

#include <functional>
#include <memory>

struct bufferevent;

namespace verbenachute {

/// What a server allows its callers. Operators may change it at run time.
struct ServerLimits
{
  MessageLimits mMessage;
  /// Longest time from the first byte of a request to the end of its head.
  Duration mHeader = seconds(3);
  /// Longest time between two requests, and between two pieces of a body.
  Duration mIdle = seconds(15);
};

/// One connection of a caller. It reads one request at a time; what follows
/// waits in the socket until the response is out.
class HttpServerConnection
{
public:
  using Handler = std::function<void(const std::shared_ptr<HttpCall>&)>;
  using Ended = std::function<void(HttpServerConnection*)>;

  /// Takes over the socket. aEnded is called once, from a deferred task, and
  /// then the owner destroys the connection. aLimits outlives it.
  HttpServerConnection(EventLoop& aLoop,
                       int aSocket,
                       const ServerLimits& aLimits,
                       Handler aHandler,
                       Ended aEnded);
  ~HttpServerConnection();
  HttpServerConnection(const HttpServerConnection&) = delete;
  HttpServerConnection& operator=(const HttpServerConnection&) = delete;

  /// Ends the connection when it is between two requests, and otherwise after
  /// the response of the present one.
  void CloseWhenIdle();
  [[nodiscard]] bool IsIdle() const;

private:
  friend class HttpCall;

  void Respond(int aStatus,
               const HttpFields& aFields,
               std::string_view aBody,
               AfterResponse aAfter);
  void ReadInput();
  void OnReadable();
  void OnEvent(short aWhat);
  void OnTimeout();
  void Dispatch();
  void Refuse(int aStatus);
  void WaitForNextByte();
  void BeginLinger();
  void End();

  EventLoop& mLoop;
  const ServerLimits& mLimits;
  Handler mHandler;
  Ended mEnded;
  bufferevent* mStream;
  MessageReader mReader;
  Timer mTimer;
  std::shared_ptr<HttpCall> mCall;
  ConnectionUse mUse = ConnectionUse::First;
  /// Longest time that the connection waited to be accepted, which its first
  /// request may have spent as well.
  Duration mAcceptWait{ 0 };
  bool mCloseAfterResponse = false;
  bool mLingering = false;
  bool mEnding = false;
};

} // namespace verbenachute
