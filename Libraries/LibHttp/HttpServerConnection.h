#pragma once

#include <LibCore/MemoryBudget.h>
#include <LibHttp/HttpCall.h>
#include <LibHttp/MessageReader.h>

#include <LibTransport/EventLoop.h>
#include <LibTransport/Timer.h>

#include <functional>
#include <memory>

struct bufferevent;

namespace verbenachute {

/// Limits that a server sets its callers. Operators may change them at run
/// time.
struct ServerLimits
{
  MessageLimits mMessage;
  /// Longest time from the first byte of a request to the end of its header.
  Duration mHeaderTimeout = seconds(3);
  /// Longest time between two requests, and between two reads of a body.
  Duration mIdleTimeout = seconds(15);
};

/// One connection of a caller. It parses one request at a time; pipelined
/// requests stay unparsed until the response is sent.
class HttpServerConnection final : private MemoryBudget::Holder
{
public:
  using Handler = std::function<void(const std::shared_ptr<HttpCall>&)>;
  using EndedCallback = std::function<void(HttpServerConnection*)>;

  /// Takes ownership of the socket. aEnded is called once, from a deferred
  /// task, and must destroy the connection. aLimits must outlive the
  /// connection. aBudget may be null, and must outlive the connection
  /// otherwise.
  HttpServerConnection(EventLoop& aLoop,
                       int aSocket,
                       const ServerLimits& aLimits,
                       Handler aHandler,
                       EndedCallback aEnded,
                       MemoryBudget* aBudget = nullptr);
  ~HttpServerConnection();
  HttpServerConnection(const HttpServerConnection&) = delete;
  HttpServerConnection& operator=(const HttpServerConnection&) = delete;

  /// Closes the connection if it is idle, and otherwise after the response to
  /// the current request.
  void CloseWhenIdle();
  [[nodiscard]] bool IsIdle() const;
  /// Whether no request is in progress and no response is being sent.
  [[nodiscard]] bool IsWaitingForInput() const;
  [[nodiscard]] Instant LastInput() const { return mLastInput; }
  /// Closes the connection at once.
  void Close() { End(); }

private:
  friend class HttpCall;

  void OnEvicted() override;
  [[nodiscard]] std::size_t HeldBytes() const override;
  /// Reports to the budget what the connection holds.
  void ReportMemory(std::size_t aMoved);
  void OnDrained();
  void Respond(int aStatus,
               const HttpFields& aFields,
               std::string aBody,
               AfterResponse aAfter);
  void ReadInput();
  void OnReadable();
  void OnEvent(short aWhat);
  void OnTimeout();
  void Dispatch();
  void Refuse(int aStatus);
  void StartIdleTimer();
  void BeginLinger();
  void End();

  EventLoop& mLoop;
  const ServerLimits& mLimits;
  Handler mHandler;
  EndedCallback mEnded;
  bufferevent* mStream;
  MessageReader mReader;
  Timer mTimer;
  std::shared_ptr<HttpCall> mCall;
  ConnectionUse mConnectionUse = ConnectionUse::First;
  /// Upper bound of the time that the connection waited to be accepted. Its
  /// first request may have waited as long.
  Duration mAcceptDelay{ 0 };
  bool mCloseAfterResponse = false;
  bool mLingering = false;
  bool mEnding = false;
  MemoryBudget* mBudget;
  /// For the connection itself, even if it is idle.
  MemoryBudget::Charge mOwnCharge;
  Instant mLastInput;
  bool mEvicted = false;
};

} // namespace verbenachute
