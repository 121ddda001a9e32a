#include <LibHttp/HttpClientStream.h>

#include <LibCore/Verify.h>

#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utility>

namespace verbenachute {

namespace {

// Assumed for servers that don't send a Keep-Alive timeout.
constexpr Duration kDefaultKeepAliveTimeout = seconds(60);
constexpr std::string_view kTimeoutKey = "timeout=";
constexpr int kFirstFinalStatus = 200;
// Smaller texts are cheaper to copy than to refer to.
constexpr std::size_t kMinimumReferencedBytes = 1024;

} // namespace

HttpClientStream::HttpClientStream(EventLoop& aLoop,
                                   const SocketAddress& aAddress,
                                   const PeerTimeouts& aTimeouts,
                                   ReceiveBudget* aBudget)
  : mLoop(aLoop)
  , mTimeouts(aTimeouts)
  , mStream(bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE))
  , mReader(MessageKind::Responses, MessageLimits())
  , mBudget(aBudget)
  , mTimer(aLoop, [this]() { OnTimer(); })
  , mIdleSince(aLoop.Now())
  , mKeepAliveTimeout(kDefaultKeepAliveTimeout)
{
  bufferevent_setcb(mStream,
                    &HttpClientStream::OnReadable,
                    nullptr,
                    &HttpClientStream::OnEvent,
                    this);
  sockaddr_in address = SocketAddressOf(aAddress);
  const int connectResult = bufferevent_socket_connect(
    mStream, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (connectResult != 0) {
    mBroken = true;
    return;
  }
  TuneSocket(SocketOf(mStream), mTimeouts);
  bufferevent_enable(mStream, EV_READ | EV_WRITE);
}

HttpClientStream::~HttpClientStream()
{
  LeaveBudget();
  if (mDone) {
    ResetConnection();
  }
  bufferevent_free(mStream);
}

void
HttpClientStream::Send(Exchange aExchange, Done aDone)
{
  VERIFY(!mDone);
  mExchange = std::move(aExchange);
  mDone = std::move(aDone);
  mResponseStarted = false;
  if (mBroken) {
    mTimer.Start(Duration(0));
    return;
  }
  mTimer.Start(mExchange.mTimeout);
  mReader.SetLimits(mExchange.mLimits);
  if (mExchange.mIsHead) {
    mReader.ExpectNoBody();
  }
  if (mConnected) {
    WriteRequest();
  }
}

void
HttpClientStream::OnTimer()
{
  ResetConnection();
  Fail(mIsEvicted ? StreamFailure::TooLarge : StreamFailure::TimedOut);
}

void
HttpClientStream::UpdateBudget()
{
  const bool isIncomplete =
    mReader.Current() == MessageReader::State::InMessage && !mIsEvicted;
  if (mBudget == nullptr || !isIncomplete) {
    LeaveBudget();
    return;
  }
  mIsInBudget = true;
  mBudget->Update(this, mReader.BodyMemory());
}

void
HttpClientStream::LeaveBudget()
{
  if (std::exchange(mIsInBudget, false)) {
    mBudget->Update(this, 0);
  }
}

void
HttpClientStream::OnEvicted()
{
  mIsInBudget = false;
  mIsEvicted = true;
  bufferevent_disable(mStream, EV_READ | EV_WRITE);
  mReader.DropBody();
  // From the loop, since this runs while another stream reads.
  mTimer.Start(Duration(0));
}

void
HttpClientStream::WriteRequest()
{
  mTransferredBytes += mExchange.mRequest.size();
  WriteShared(std::exchange(mExchange.mSharedHead, nullptr));
  bufferevent_write(
    mStream, mExchange.mRequest.data(), mExchange.mRequest.size());
  WriteShared(std::exchange(mExchange.mSharedBody, nullptr));
  // What is not sent yet is in the buffer of the stream now.
  mExchange.mRequest = std::string();
}

void
HttpClientStream::WriteShared(const SharedText& aText)
{
  if (aText == nullptr || aText->empty()) {
    return;
  }
  mTransferredBytes += aText->size();
  if (aText->size() < kMinimumReferencedBytes) {
    bufferevent_write(mStream, aText->data(), aText->size());
    return;
  }
  std::unique_ptr<SharedText> owner = std::make_unique<SharedText>(aText);
  evbuffer_add_reference(
    bufferevent_get_output(mStream),
    aText->data(),
    aText->size(),
    [](const void*, std::size_t, void* aOwner) {
      delete static_cast<SharedText*>(aOwner);
    },
    owner.get());
  static_cast<void>(owner.release());
}

std::size_t
HttpClientStream::TakeTransferredBytes()
{
  return std::exchange(mTransferredBytes, 0);
}

void
HttpClientStream::OnReadable(bufferevent*, void* aSelf)
{
  static_cast<HttpClientStream*>(aSelf)->ReadInput();
}

void
HttpClientStream::OnEvent(bufferevent*, short aWhat, void* aSelf)
{
  HttpClientStream* self = static_cast<HttpClientStream*>(aSelf);
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    self->mConnected = true;
    if (self->mDone) {
      self->WriteRequest();
    }
    return;
  }
  if (self->mIsEvicted) {
    return;
  }
  if ((aWhat & BEV_EVENT_EOF) != 0 && self->mDone) {
    self->mReader.EndOfStream();
    if (self->mReader.Current() == MessageReader::State::Complete &&
        !self->ShouldSkipResponse()) {
      self->FinishMessage();
      return;
    }
  }
  self->Fail(self->FailureOnClose());
}

StreamFailure
HttpClientStream::FailureOnClose() const
{
  if (!mConnected) {
    return StreamFailure::NotConnected;
  }
  return mResponseStarted ? StreamFailure::ClosedDuringResponse
                          : StreamFailure::ClosedBeforeResponse;
}

void
HttpClientStream::ReadInput()
{
  evbuffer* input = bufferevent_get_input(mStream);
  while (!mIsEvicted && evbuffer_get_length(input) > 0) {
    if (!mDone || mBroken) {
      // Bytes that belong to no request. If the connection were used again,
      // they could be taken for the response to the next request.
      Fail(StreamFailure::Malformed);
      return;
    }
    mResponseStarted = true;
    const std::size_t size = evbuffer_get_contiguous_space(input);
    const unsigned char* bytes =
      evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
    const std::size_t used = mReader.Feed(
      std::string_view(reinterpret_cast<const char*>(bytes), size));
    evbuffer_drain(input, used);
    mTransferredBytes += used;
    UpdateBudget();
    const MessageReader::State state = mReader.Current();
    if (state == MessageReader::State::Complete) {
      if (ShouldSkipResponse()) {
        mReader.Next();
        mResponseStarted = false;
        continue;
      }
      FinishMessage();
      return;
    }
    if (state == MessageReader::State::HeadersTooLarge ||
        state == MessageReader::State::BodyTooLarge) {
      Fail(StreamFailure::TooLarge);
      return;
    }
    if (state == MessageReader::State::Malformed) {
      Fail(StreamFailure::Malformed);
      return;
    }
  }
}

bool
HttpClientStream::ShouldSkipResponse()
{
  if (mReader.Status() < kFirstFinalStatus) {
    return true;
  }
  if (mExchange.mIdentity.mField.empty()) {
    return false;
  }
  const std::string* echoed = mReader.Fields().Find(mExchange.mIdentity.mField);
  return echoed != nullptr && *echoed != mExchange.mIdentity.mValue;
}

void
HttpClientStream::ReadKeepAliveTimeout()
{
  const std::string* field = mReader.Fields().Find("Keep-Alive");
  if (field == nullptr) {
    return;
  }
  const std::size_t at = field->find(kTimeoutKey);
  if (at == std::string::npos) {
    return;
  }
  std::uint32_t count = 0;
  const char* begin = field->data() + at + kTimeoutKey.size();
  const std::from_chars_result read =
    std::from_chars(begin, field->data() + field->size(), count);
  if (read.ec == std::errc()) {
    mKeepAliveTimeout = seconds(count);
  }
}

void
HttpClientStream::FinishMessage()
{
  ReadKeepAliveTimeout();
  HttpResponse response;
  response.mStatus = mReader.Status();
  response.mFields = std::move(mReader.Fields());
  response.mBody = std::move(mReader.Body());
  const bool requestSent =
    evbuffer_get_length(bufferevent_get_output(mStream)) == 0;
  const bool hasUnreadInput =
    evbuffer_get_length(bufferevent_get_input(mStream)) > 0;
  if (!mReader.KeepsAlive() || !requestSent || hasUnreadInput) {
    mBroken = true;
    bufferevent_disable(mStream, EV_READ | EV_WRITE);
  }
  mReader.Next();
  ++mExchanges;
  mIdleSince = mLoop.Now();
  Finish(std::move(response));
}

void
HttpClientStream::ResetConnection()
{
  // A request that nobody waits for must not be delivered once a network
  // partition heals.
  ResetOnClose(SocketOf(mStream));
}

void
HttpClientStream::Abort()
{
  if (mDone) {
    ResetConnection();
  }
  mTimer.Stop();
  LeaveBudget();
  mReader.DropBody();
  mExchange = Exchange();
  mDone = nullptr;
  mBroken = true;
  bufferevent_disable(mStream, EV_READ | EV_WRITE);
}

void
HttpClientStream::Fail(StreamFailure aFailure)
{
  const StreamFailure failure =
    mBroken && !mConnected ? StreamFailure::NotConnected : aFailure;
  mBroken = true;
  LeaveBudget();
  mReader.DropBody();
  bufferevent_disable(mStream, EV_READ | EV_WRITE);
  if (mDone) {
    Finish(failure);
  }
}

void
HttpClientStream::Finish(StreamOutcome aOutcome)
{
  mTimer.Stop();
  LeaveBudget();
  mExchange = Exchange();
  Done done = std::exchange(mDone, nullptr);
  done(std::move(aOutcome));
}

} // namespace verbenachute
