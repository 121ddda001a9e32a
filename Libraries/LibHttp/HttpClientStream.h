#pragma once

#include <LibCore/Identifiers.h>
#include <LibHttp/HttpText.h>
#include <LibHttp/MessageReader.h>
#include <LibHttp/ReceiveBudget.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/SocketOptions.h>
#include <LibTransport/Timer.h>

#include <functional>
#include <string>
#include <variant>

struct bufferevent;

namespace verbenachute {

struct HttpResponse
{
  int mStatus = 0;
  HttpFields mFields;
  std::string mBody;
};

/// Why an exchange ended without a response.
enum class StreamFailure
{
  /// The connection was not established, so nothing was sent.
  NotConnected,
  /// The connection was lost before any byte of the response.
  ClosedBeforeResponse,
  /// The connection was lost in the middle of the response.
  ClosedDuringResponse,
  /// The received bytes are not a valid response.
  Malformed,
  /// The response exceeds MessageLimits, or was given up as the largest one
  /// when the ReceiveBudget was exceeded.
  TooLarge,
  TimedOut,
};

using StreamOutcome = std::variant<HttpResponse, StreamFailure>;

/// Header field in which the server echoes the identity of the request. A
/// response that echoes another value belongs to another request.
struct ResponseIdentity
{
  std::string mField;
  std::string mValue;
};

/// One connection to a server, which carries one exchange at a time and stays
/// open between exchanges. Nothing is sent twice, and nothing is sent before
/// the connection is established.
class HttpClientStream final : private ReceiveBudget::Holder
{
public:
  using Done = std::function<void(StreamOutcome)>;

  /// aBudget, if given, bounds the memory of responses and must outlive the
  /// stream.
  HttpClientStream(EventLoop& aLoop,
                   const SocketAddress& aAddress,
                   const PeerTimeouts& aTimeouts,
                   ReceiveBudget* aBudget = nullptr);
  /// Closes the connection. A running exchange is dropped without calling its
  /// Done, and its connection is reset.
  ~HttpClientStream();
  HttpClientStream(const HttpClientStream&) = delete;
  HttpClientStream& operator=(const HttpClientStream&) = delete;

  struct Exchange
  {
    /// Bytes that precede mRequest and are shared with other exchanges; null if
    /// there are none.
    SharedText mSharedHead;
    /// The serialized request, without the shared bytes.
    std::string mRequest;
    /// Bytes that follow mRequest and are shared with other exchanges; null if
    /// there are none.
    SharedText mSharedBody;
    /// Whether the request is a HEAD.
    bool mIsHead = false;
    /// If the field name is empty, any response is accepted.
    ResponseIdentity mIdentity;
    Duration mTimeout = seconds(5);
    /// Bounds of the response, which fails as TooLarge beyond them.
    MessageLimits mLimits;
  };

  /// Sends a request and calls aDone once, never from within this call. No
  /// exchange may be running; on a broken stream the exchange fails. aDone may
  /// destroy the stream.
  void Send(Exchange aExchange, Done aDone);

  /// Closes the connection. A running exchange is dropped without calling its
  /// Done, and what has not been written is never sent.
  void Abort();

  [[nodiscard]] bool IsReady() const { return !mDone && !mBroken; }
  /// Whether the connection has been established; the request of a running
  /// exchange has then been written.
  [[nodiscard]] bool WasConnected() const { return mConnected; }
  [[nodiscard]] bool IsBroken() const { return mBroken; }
  /// Whether an exchange has completed on this connection before.
  [[nodiscard]] bool WasUsed() const { return mExchanges > 0; }
  /// End of the last exchange, or construction if there was none.
  [[nodiscard]] Instant IdleSince() const { return mIdleSince; }
  /// How long the server keeps an idle connection open, from the Keep-Alive
  /// field of its last response that had one; 60 s without one.
  [[nodiscard]] Duration KeepAliveTimeout() const { return mKeepAliveTimeout; }
  /// Bytes written and received on this connection since the last call.
  [[nodiscard]] std::size_t TakeTransferredBytes();

private:
  static void OnReadable(bufferevent* aStream, void* aSelf);
  static void OnEvent(bufferevent* aStream, short aWhat, void* aSelf);

  void OnEvicted() override;
  void OnTimer();
  void WriteRequest();
  /// Large texts are kept alive until they have left instead of being copied.
  void WriteShared(const SharedText& aText);
  void ReadInput();
  /// Reports the memory of an incomplete response; none if there is none.
  void UpdateBudget();
  void LeaveBudget();
  void FinishMessage();
  void ReadKeepAliveTimeout();
  void ResetConnection();
  void Fail(StreamFailure aFailure);
  void Finish(StreamOutcome aOutcome);
  [[nodiscard]] StreamFailure FailureOnClose() const;
  [[nodiscard]] bool ShouldSkipResponse();

  EventLoop& mLoop;
  PeerTimeouts mTimeouts;
  bufferevent* mStream;
  MessageReader mReader;
  ReceiveBudget* mBudget;
  bool mIsInBudget = false;
  /// The response was given up; the timer is about to report it.
  bool mIsEvicted = false;
  Timer mTimer;
  Exchange mExchange;
  Done mDone;
  bool mConnected = false;
  bool mBroken = false;
  bool mResponseStarted = false;
  std::size_t mExchanges = 0;
  std::size_t mTransferredBytes = 0;
  Instant mIdleSince;
  Duration mKeepAliveTimeout;
};

} // namespace verbenachute
