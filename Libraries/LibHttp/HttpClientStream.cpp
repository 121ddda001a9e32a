#include <LibHttp/HttpClientStream.h>

#include <LibCore/Verify.h>

#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utility>

namespace verbenachute {

namespace {

// Servers that do not say how long they keep an idle connection are taken to
// do so for this long.
constexpr Duration kKeptByDefault = seconds(60);
constexpr std::string_view kTimeoutKey = "timeout=";
constexpr int kFirstFinalStatus = 200;

} // namespace

HttpClientStream::HttpClientStream(EventLoop& aLoop,
                                   const SocketAddress& aAddress,
                                   const SilenceLimits& aSilence)
  : mLoop(aLoop)
  , mSilence(aSilence)
  , mStream(bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE))
  , mReader(MessageSide::Responses, MessageLimits())
  , mTimer(aLoop,
           [this]() {
             GiveUp();
             Break(StreamFailure::TimedOut);
           })
  , mIdleSince(aLoop.Now())
  , mKeptFor(kKeptByDefault)
{
  bufferevent_setcb(mStream,
                    &HttpClientStream::OnReadable,
                    nullptr,
                    &HttpClientStream::OnEvent,
                    this);
  sockaddr_in address = SocketAddressOf(aAddress);
  const int begun = bufferevent_socket_connect(
    mStream, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (begun != 0) {
    mBroken = true;
    return;
  }
  TuneSocket(SocketOf(mStream), mSilence);
  bufferevent_enable(mStream, EV_READ | EV_WRITE);
}

HttpClientStream::~HttpClientStream()
{
  if (mDone) {
    GiveUp();
  }
  bufferevent_free(mStream);
}

void
HttpClientStream::Send(Exchange aExchange, Done aDone)
{
  VERIFY(!mDone);
  mExchange = std::move(aExchange);
  mDone = std::move(aDone);
  mAnyByte = false;
  if (mBroken) {
    mTimer.Start(Duration(0));
    return;
  }
  mTimer.Start(mExchange.mTimeout);
  if (mExchange.mNoBodyExpected) {
    mReader.ExpectNoBody();
  }
  if (mConnected) {
    bufferevent_write(
      mStream, mExchange.mRequest.data(), mExchange.mRequest.size());
  }
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
      bufferevent_write(self->mStream,
                        self->mExchange.mRequest.data(),
                        self->mExchange.mRequest.size());
    }
    return;
  }
  if ((aWhat & BEV_EVENT_EOF) != 0 && self->mDone) {
    self->mReader.EndOfStream();
    if (self->mReader.Current() == MessageReader::State::Complete &&
        !self->BelongsElsewhere()) {
      self->FinishMessage();
      return;
    }
  }
  self->Break(self->ClosedFailure());
}

StreamFailure
HttpClientStream::ClosedFailure() const
{
  if (!mConnected) {
    return StreamFailure::NotConnected;
  }
  return mAnyByte ? StreamFailure::ClosedWithinResponse
                  : StreamFailure::ClosedBeforeResponse;
}

void
HttpClientStream::ReadInput()
{
  evbuffer* input = bufferevent_get_input(mStream);
  while (evbuffer_get_length(input) > 0) {
    if (!mDone || mBroken) {
      // Bytes that no request asked for; whatever follows could be taken for
      // the response to the next one.
      Break(StreamFailure::Malformed);
      return;
    }
    mAnyByte = true;
    const std::size_t size = evbuffer_get_contiguous_space(input);
    const unsigned char* bytes =
      evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
    const std::size_t used = mReader.Feed(
      std::string_view(reinterpret_cast<const char*>(bytes), size));
    evbuffer_drain(input, used);
    const MessageReader::State state = mReader.Current();
    if (state == MessageReader::State::Complete) {
      if (BelongsElsewhere()) {
        mReader.Next();
        mAnyByte = false;
        continue;
      }
      FinishMessage();
      return;
    }
    if (state != MessageReader::State::Within &&
        state != MessageReader::State::Between) {
      Break(StreamFailure::Malformed);
      return;
    }
  }
}

bool
HttpClientStream::BelongsElsewhere()
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
HttpClientStream::NoteKeepAlive()
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
    mKeptFor = seconds(count);
  }
}

void
HttpClientStream::FinishMessage()
{
  NoteKeepAlive();
  HttpResponse response;
  response.mStatus = mReader.Status();
  response.mFields = std::move(mReader.Fields());
  response.mBody = std::move(mReader.Body());
  const bool requestOut =
    evbuffer_get_length(bufferevent_get_output(mStream)) == 0;
  const bool more = evbuffer_get_length(bufferevent_get_input(mStream)) > 0;
  if (!mReader.KeepsAlive() || !requestOut || more) {
    mBroken = true;
    bufferevent_disable(mStream, EV_READ | EV_WRITE);
  }
  mReader.Next();
  ++mExchanges;
  mIdleSince = mLoop.Now();
  Finish(std::move(response));
}

void
HttpClientStream::GiveUp()
{
  // A request that nobody waits for must not arrive once a cut is over.
  ResetAtClose(SocketOf(mStream));
}

void
HttpClientStream::Break(StreamFailure aFailure)
{
  const StreamFailure failure =
    mBroken && !mConnected ? StreamFailure::NotConnected : aFailure;
  mBroken = true;
  bufferevent_disable(mStream, EV_READ | EV_WRITE);
  if (mDone) {
    Finish(failure);
  }
}

void
HttpClientStream::Finish(StreamOutcome aOutcome)
{
  mTimer.Stop();
  Done done = std::exchange(mDone, nullptr);
  done(std::move(aOutcome));
}

} // namespace verbenachute
