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

/// Why a request got no reply.
enum class HttpFailureCause
{
  /// The connection could not be made.
  NotConnected,
  /// The connection closed before the whole reply.
  ConnectionLost,
  TimedOut,
};

struct HttpFailure
{
  HttpFailureCause mCause = HttpFailureCause::ConnectionLost;
  /// NotRun only if no byte of the request was handed to the socket.
  Execution mExecution = Execution::OutcomeUnknown;
};

using HttpOutcome = std::variant<HttpReply, HttpFailure>;

/// One connection of a client, which carries one exchange at a time and
/// stays open between them. Nothing is ever sent a second time.
class HttpClientConnection
{
public:
  using Done = std::function<void(const HttpOutcome&)>;

  HttpClientConnection(EventLoop& aLoop, const SocketAddress& aAddress);
  /// Closes the connection; a running exchange is dropped without a call.
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
  /// After a failure the connection is of no more use.
  [[nodiscard]] bool IsUsable() const;

private:
  // Lets the callback notice that its connection was destroyed within it.
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
  void FinishFrom(evhttp_request* aRaw);
  void Finish(const HttpOutcome& aOutcome);
  void Fail(HttpFailureCause aCause);

  EventLoop& mLoop;
  SocketAddress mAddress;
  evhttp_connection* mConnection = nullptr;
  Timer mTimeout;
  Done mDone;
  std::size_t mBytesSent = 0;
  sigc::signal<void()> mIdleClosed;
  CallbackState* mInCallback = nullptr;
  bool mUsable = true;
};

} // namespace verbenachute
