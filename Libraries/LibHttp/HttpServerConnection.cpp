#include <LibHttp/HttpServerConnection.h>

#include <LibCore/Verify.h>
#include <LibHttp/ResourceShares.h>
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
// The same while a request is in progress.
constexpr std::size_t kBusyReadAheadBytes = 16UL * 1024;
// A response of at least this size is passed to the socket without a copy.
constexpr std::size_t kLargeResponseBytes = 16UL * 1024;

constexpr int kUnavailable = 503;
constexpr int kBadRequest = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;

void
Write(bufferevent* aStream, std::string aText)
{
  if (aText.size() < kLargeResponseBytes) {
    bufferevent_write(aStream, aText.data(), aText.size());
    return;
  }
  std::unique_ptr<std::string> owned =
    std::make_unique<std::string>(std::move(aText));
  evbuffer_add_reference(
    bufferevent_get_output(aStream),
    owned->data(),
    owned->size(),
    [](const void*, std::size_t, void* aOwned) {
      delete static_cast<std::string*>(aOwned);
    },
    owned.get());
  static_cast<void>(owned.release());
}

} // namespace

HttpServerConnection::HttpServerConnection(EventLoop& aLoop,
                                           int aSocket,
                                           const ServerLimits& aLimits,
                                           Handler aHandler,
                                           EndedCallback aEnded,
                                           MemoryBudget* aBudget)
  : mLoop(aLoop)
  , mLimits(aLimits)
  , mHandler(std::move(aHandler))
  , mEnded(std::move(aEnded))
  , mStream(
      bufferevent_socket_new(aLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE))
  , mReader(MessageKind::Requests, aLimits.mMessage)
  , mTimer(aLoop, [this]() { OnTimeout(); })
  , mBudget(aBudget)
  , mOwnCharge(aBudget, kConnectionBytes)
  , mLastInput(aLoop.Now())
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
      } else {
        self->OnDrained();
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
  if (mBudget != nullptr) {
    mBudget->Remove(this);
  }
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

bool
HttpServerConnection::IsWaitingForInput() const
{
  return !mCall && !mEnding &&
         evbuffer_get_length(bufferevent_get_output(mStream)) == 0;
}

std::size_t
HttpServerConnection::HeldBytes() const
{
  return evbuffer_get_length(bufferevent_get_input(mStream)) +
         evbuffer_get_length(bufferevent_get_output(mStream)) +
         (mReader.Current() == MessageReader::State::InMessage
            ? mReader.MessageMemory()
            : 0);
}

void
HttpServerConnection::ReportMemory(std::size_t aMoved)
{
  if (mBudget == nullptr || mEnding || mEvicted) {
    return;
  }
  const bool isSending =
    evbuffer_get_length(bufferevent_get_output(mStream)) > 0;
  mBudget->Update(this,
                  isSending ? MemoryBudget::Use::UnreadResponse
                  : mCall   ? MemoryBudget::Use::ReadAhead
                            : MemoryBudget::Use::IncompleteRequest,
                  HeldBytes(),
                  aMoved,
                  mLoop.Now());
}

void
HttpServerConnection::OnEvicted()
{
  mEvicted = true;
  // Many connections may be read before the deferred task runs.
  DiscardBuffers(mStream);
  mReader.DropMessage();
  // Deferred, since the budget may be called from within a callback of this
  // connection or of another one.
  mLoop.Defer([this]() { End(); });
}

void
HttpServerConnection::OnDrained()
{
  ReportMemory(0);
  if (!mCall && evbuffer_get_length(bufferevent_get_input(mStream)) > 0) {
    ReadInput();
  }
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
  mLastInput = mLoop.Now();
  const std::size_t before = evbuffer_get_length(input);
  // The next pipelined request waits until the previous response has left.
  while (!mCall && !mLingering && !mEvicted &&
         evbuffer_get_length(bufferevent_get_output(mStream)) == 0 &&
         evbuffer_get_length(input) > 0) {
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
  ReportMemory(before - evbuffer_get_length(input));
}

void
HttpServerConnection::Dispatch()
{
  mTimer.Stop();
  const std::size_t size = mReader.MessageMemory();
  if (mBudget != nullptr && !mBudget->Admits(size)) {
    // The request was not passed to the handler, so it has not run.
    mReader.DropBody();
    mBudget->OnRefused();
    Refuse(kUnavailable);
    return;
  }
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
  if (mBudget != nullptr) {
    call->mCharge = MemoryBudget::Charge(mBudget, size);
    bufferevent_setwatermark(mStream, EV_READ, 0, kBusyReadAheadBytes);
  }
  mCall = call;
  mHandler(call);
}

void
HttpServerConnection::Respond(int aStatus,
                              const HttpFields& aFields,
                              std::string aBody,
                              AfterResponse aAfter)
{
  VERIFY(mCall != nullptr);
  mCall->mConnection = nullptr;
  mCall.reset();
  if (mEnding) {
    return;
  }
  const bool close = mCloseAfterResponse || aAfter == AfterResponse::Close;
  mLingering = close;
  Write(mStream,
        SerializeResponseHead(aStatus,
                              aFields,
                              aBody.size(),
                              close ? AfterResponse::Close
                                    : AfterResponse::KeepOpen));
  if (!HasNoBody(aStatus)) {
    Write(mStream, std::move(aBody));
  }
  if (mBudget != nullptr) {
    bufferevent_setwatermark(mStream, EV_READ, 0, kReadAheadBytes);
  }
  ReportMemory(0);
  if (close) {
    return;
  }
  // OnDrained continues with the next pipelined request.
  StartIdleTimer();
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
  if (mBudget != nullptr) {
    mBudget->Remove(this);
  }
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
