#pragma once

#include <LibCore/Identifiers.h>
#include <LibHttp/MessageReader.h>
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

/// Why an exchange got no response.
enum class StreamFailure
{
  /// The connection was not made, so nothing was sent.
  NotConnected,
  /// The connection broke before any byte of the response.
  ClosedBeforeResponse,
  /// The connection broke within the response.
  ClosedWithinResponse,
  /// What came is no response.
  Malformed,
  TimedOut,
};

using StreamOutcome = std::variant<HttpResponse, StreamFailure>;

/// A response that belongs to another request is recognised by a field that
/// echoes the request's identity.
struct ResponseIdentity
{
  std::string mField;
  std::string mValue;
};

/// One connection to a server, which carries one exchange at a time and stays
/// open between them. Nothing is sent twice, and nothing is sent before the
/// connection stands.
class HttpClientStream
{
public:
  using Done = std::function<void(StreamOutcome)>;

  HttpClientStream(EventLoop& aLoop,
                   const SocketAddress& aAddress,
                   const SilenceLimits& aSilence);
  /// Closes the connection; a running exchange is dropped without a call, and
  /// its connection is reset.
  ~HttpClientStream();
  HttpClientStream(const HttpClientStream&) = delete;
  HttpClientStream& operator=(const HttpClientStream&) = delete;

  struct Exchange
  {
    /// The bytes of the whole request.
    std::string mRequest;
    /// Whether the request is a HEAD.
    bool mNoBodyExpected = false;
    /// Empty field: any response is taken.
    ResponseIdentity mIdentity;
    Duration mTimeout = seconds(5);
  };

  /// Sends a request and calls aDone once, never from within this call. The
  /// stream must be ready. aDone may destroy the stream.
  void Send(Exchange aExchange, Done aDone);

  [[nodiscard]] bool IsReady() const { return !mDone && !mBroken; }
  [[nodiscard]] bool IsBroken() const { return mBroken; }
  /// Whether an exchange has completed on this connection before.
  [[nodiscard]] bool WasUsed() const { return mExchanges > 0; }
  [[nodiscard]] Instant IdleSince() const { return mIdleSince; }
  /// How long the server keeps an idle connection, as it has said.
  [[nodiscard]] Duration KeptFor() const { return mKeptFor; }

private:
  static void OnReadable(bufferevent* aStream, void* aSelf);
  static void OnEvent(bufferevent* aStream, short aWhat, void* aSelf);

  void ReadInput();
  void FinishMessage();
  void NoteKeepAlive();
  void GiveUp();
  void Break(StreamFailure aFailure);
  void Finish(StreamOutcome aOutcome);
  [[nodiscard]] StreamFailure ClosedFailure() const;
  [[nodiscard]] bool BelongsElsewhere();

  EventLoop& mLoop;
  SilenceLimits mSilence;
  bufferevent* mStream;
  MessageReader mReader;
  Timer mTimer;
  Exchange mExchange;
  Done mDone;
  bool mConnected = false;
  bool mBroken = false;
  bool mAnyByte = false;
  std::size_t mExchanges = 0;
  Instant mIdleSince;
  Duration mKeptFor;
};

} // namespace verbenachute
