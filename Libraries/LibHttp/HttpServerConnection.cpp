#include <LibHttp/HttpServerConnection.h>

#include <LibCore/Verify.h>
#include <LibTransport/SocketOptions.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <utility>

namespace verbenachute {

namespace {

// How long the socket is read after its sending side was shut down. Closing it
// with unread input would reset the connection before the peer has read the
// response.
constexpr Duration kLingerTime = milliseconds(500);
// Unparsed input that is buffered before TCP flow control stops the caller.
constexpr std::size_t kReadAheadBytes = 64UL * 1024;

// A read delay of at least this is subtracted from the arrival time of a
// request. Shorter iterations of the loop are part of normal latency.
constexpr Duration kMinimumCountedDelay = milliseconds(60);

constexpr int kRequestTimeout = 408;
constexpr int kBadRequest = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;

} // namespace

HttpServerConnection::HttpServerConnection(EventLoop& aLoop,
                                           int aSocket,
                                           const ServerLimits& aLimits,
                                           Handler aHandler,
                                           EndedCallback aEnded)
  : mLoop(aLoop)
  , mLimits(aLimits)
  , mHandler(std::move(aHandler))
  , mEnded(std::move(aEnded))
  , mStream(
      bufferevent_socket_new(aLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE))
  , mReader(MessageKind::Requests, aLimits.mMessage)
  , mTimer(aLoop, [this]() { OnTimeout(); })
{
  mAcceptDelay = aLoop.MaximumReadDelay();
  TuneSocket(aSocket, PeerTimeouts());
  bufferevent_setcb(
    mStream,
    [](bufferevent*, void* aSelf) {
      static_cast<HttpServerConnection*>(aSelf)->OnReadable();
    },
    [](bufferevent*, void* aSelf) {
      HttpServerConnection* self = static_cast<HttpServerConnection*>(aSelf);
      if (self->mLingering) {
        self->BeginLinger();
      }
    },
    [](bufferevent*, short aWhat, void* aSelf) {
      static_cast<HttpServerConnection*>(aSelf)->OnEvent(aWhat);
    },
    this);
  bufferevent_setwatermark(mStream, EV_READ, 0, kReadAheadBytes);
  bufferevent_enable(mStream, EV_READ | EV_WRITE);
  StartIdleTimer();
}

HttpServerConnection::~HttpServerConnection()
{
  if (mCall) {
    mCall->mConnection = nullptr;
  }
  bufferevent_free(mStream);
}

bool
HttpServerConnection::IsIdle() const
{
  return !mCall && mReader.Current() == MessageReader::State::BetweenMessages &&
         evbuffer_get_length(bufferevent_get_output(mStream)) == 0;
}

void
HttpServerConnection::CloseWhenIdle()
{
  mCloseAfterResponse = true;
  if (IsIdle() && !mLingering) {
    mLingering = true;
    BeginLinger();
  }
}

void
HttpServerConnection::StartIdleTimer()
{
  mTimer.Start(mLimits.mIdleTimeout);
}

void
HttpServerConnection::OnReadable()
{
  if (mLingering) {
    evbuffer* input = bufferevent_get_input(mStream);
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  ReadInput();
}

void
HttpServerConnection::ReadInput()
{
  evbuffer* input = bufferevent_get_input(mStream);
  while (!mCall && !mLingering && evbuffer_get_length(input) > 0) {
    if (mReader.Current() == MessageReader::State::BetweenMessages) {
      mReader.SetLimits(mLimits.mMessage);
      mTimer.Start(mLimits.mHeaderTimeout);
    }
    const std::size_t size = evbuffer_get_contiguous_space(input);
    const unsigned char* bytes =
      evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
    const std::size_t used = mReader.Feed(
      std::string_view(reinterpret_cast<const char*>(bytes), size));
    evbuffer_drain(input, used);
    switch (mReader.Current()) {
      case MessageReader::State::BetweenMessages:
        break;
      case MessageReader::State::InMessage:
        if (mReader.HeadComplete()) {
          mTimer.Start(mLimits.mIdleTimeout);
        }
        break;
      case MessageReader::State::Complete:
        Dispatch();
        break;
      case MessageReader::State::HeadersTooLarge:
        Refuse(kHeadersTooLarge);
        return;
      case MessageReader::State::BodyTooLarge:
        Refuse(kBodyTooLarge);
        return;
      case MessageReader::State::Malformed:
        Refuse(kBadRequest);
        return;
    }
  }
}

void
HttpServerConnection::Dispatch()
{
  mTimer.Stop();
  std::shared_ptr<HttpCall> call = std::make_shared<HttpCall>();
  call->mMethod = mReader.Method();
  call->mTarget = mReader.Target();
  call->mFields = std::move(mReader.Fields());
  call->mBody = std::move(mReader.Body());
  const Duration readDelay =
    mLoop.MaximumReadDelay() + std::exchange(mAcceptDelay, Duration(0));
  call->mArrivalTime =
    mLoop.Now() - (readDelay >= kMinimumCountedDelay ? readDelay : Duration(0));
  call->mConnectionUse = std::exchange(mConnectionUse, ConnectionUse::Reused);
  call->mConnection = this;
  if (!mReader.KeepsAlive()) {
    mCloseAfterResponse = true;
  }
  mReader.Next();
  mCall = call;
  mHandler(call);
}

void
HttpServerConnection::Respond(int aStatus,
                              const HttpFields& aFields,
                              std::string_view aBody,
                              AfterResponse aAfter)
{
  VERIFY(mCall != nullptr);
  mCall->mConnection = nullptr;
  mCall.reset();
  if (mEnding) {
    return;
  }
  const bool close = mCloseAfterResponse || aAfter == AfterResponse::Close;
  const std::string text =
    SerializeResponse(aStatus,
                      aFields,
                      aBody,
                      close ? AfterResponse::Close : AfterResponse::KeepOpen);
  mLingering = close;
  bufferevent_write(mStream, text.data(), text.size());
  if (close) {
    return;
  }
  StartIdleTimer();
  if (evbuffer_get_length(bufferevent_get_input(mStream)) > 0) {
    // Deferred, since the caller of Respond may still use the connection.
    bufferevent_trigger(mStream, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
  }
}

void
HttpServerConnection::Refuse(int aStatus)
{
  // The request is incomplete, so it has not been passed to the handler.
  const std::string text =
    SerializeResponse(aStatus, HttpFields(), "", AfterResponse::Close);
  mLingering = true;
  bufferevent_write(mStream, text.data(), text.size());
}

void
HttpServerConnection::OnEvent(short aWhat)
{
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    End();
  }
}

void
HttpServerConnection::OnTimeout()
{
  const bool isPartial = mReader.Current() == MessageReader::State::InMessage;
  if (isPartial && !mLingering) {
    Refuse(kRequestTimeout);
    mTimer.Start(kLingerTime);
    return;
  }
  if (mLingering) {
    End();
    return;
  }
  mLingering = true;
  BeginLinger();
}

void
HttpServerConnection::BeginLinger()
{
  shutdown(SocketOf(mStream), SHUT_WR);
  mTimer.Start(kLingerTime);
}

void
HttpServerConnection::End()
{
  if (mEnding) {
    return;
  }
  mEnding = true;
  mTimer.Stop();
  bufferevent_disable(mStream, EV_READ | EV_WRITE);
  if (mCall) {
    mCall->mConnection = nullptr;
    const std::shared_ptr<HttpCall> call = std::move(mCall);
    call->CallerDisconnected().emit();
  }
  // Destroyed by a deferred task, since this may run within a callback of the
  // bufferevent.
  EndedCallback ended = mEnded;
  mLoop.Defer([this, ended]() { ended(this); });
}

} // namespace verbenachute
