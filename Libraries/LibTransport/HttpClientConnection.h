#pragma once

#include <LibCore/Identifiers.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpMessage.h>
#include <LibTransport/Timer.h>

#include <functional>
#include <memory>
#include <variant>

struct evhttp_connection;
struct evhttp_request;
struct evbuffer;
struct evbuffer_cb_info;

namespace verbenachute {

/// Why a request ended without a reply.
enum class HttpFailureCause
{
  /// The connection could not be established.
  NotConnected,
  /// The connection closed before the reply was complete.
  ConnectionLost,
  TimedOut,
};

struct HttpFailure
{
  HttpFailureCause mCause = HttpFailureCause::ConnectionLost;
  /// NotRun only if no byte of the request was written to the socket.
  Execution mExecution = Execution::OutcomeUnknown;
};

using HttpOutcome = std::variant<HttpReply, HttpFailure>;

/// One connection of a client, which carries one exchange at a time and
/// stays open between exchanges. A request is never sent again.
class HttpClientConnection
{
public:
  using Done = std::function<void(const HttpOutcome&)>;

  HttpClientConnection(EventLoop& aLoop, const SocketAddress& aAddress);
  /// Closes the connection. A running exchange is dropped without calling its
  /// Done.
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  /// Sends a request and calls aDone once. The connection must be idle.
  /// aDone may destroy the connection.
  void Send(const HttpRequest& aRequest, Duration aTimeout, Done aDone);

  /// Emitted when the server closes the connection between two exchanges;
  /// destroy the connection from a deferred task.
  [[nodiscard]] sigc::signal<void()>& IdleClosed();

  [[nodiscard]] bool IsIdle() const;
  /// False once an exchange has failed or the server has closed the connection.
  [[nodiscard]] bool IsUsable() const;

private:
  // Tells OnFinished whether this object was destroyed during the callback.
  enum class CallbackState
  {
    Running,
    OwnerDestroyed,
  };

  static void OnFinished(evhttp_request* aRaw, void* aConnection);
  static void OnClosed(evhttp_connection* aRaw, void* aConnection);
  static void OnOutput(evbuffer* aBuffer,
                       const evbuffer_cb_info* aInfo,
                       void* aConnection);
  void FinishWith(evhttp_request* aRaw);
  void Finish(const HttpOutcome& aOutcome);
  void Fail(HttpFailureCause aCause);

  EventLoop& mLoop;
  SocketAddress mAddress;
  evhttp_connection* mConnection = nullptr;
  Timer mTimeoutTimer;
  Done mDone;
  std::size_t mBytesSent = 0;
  sigc::signal<void()> mIdleClosed;
  CallbackState* mCallbackState = nullptr;
  bool mUsable = true;
};

} // namespace verbenachute
