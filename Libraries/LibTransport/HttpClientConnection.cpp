#include <LibTransport/HttpClientConnection.h>

#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace verbenachute {

namespace {

constexpr std::size_t kMaximumReplyBytes = 8UL * 1024 * 1024;

evhttp_cmd_type
EvhttpCommandOf(HttpMethod aMethod)
{
  switch (aMethod) {
    case HttpMethod::Get:
      return EVHTTP_REQ_GET;
    case HttpMethod::Post:
      return EVHTTP_REQ_POST;
    case HttpMethod::Put:
      return EVHTTP_REQ_PUT;
    case HttpMethod::Delete:
      return EVHTTP_REQ_DELETE;
  }
  VERIFY(!"unknown method");
}

std::string
RequestUri(const HttpRequest& aRequest)
{
  std::string uri = aRequest.mPath;
  char separator = '?';
  for (const std::pair<const std::string, std::string>& parameter :
       aRequest.mParameters) {
    char* encoded = evhttp_encode_uri(parameter.second.c_str());
    uri += separator + parameter.first + "=" + encoded;
    std::free(encoded);
    separator = '&';
  }
  return uri;
}

} // namespace

HttpClientConnection::HttpClientConnection(EventLoop& aLoop,
                                           const SocketAddress& aAddress)
  : mLoop(aLoop)
  , mAddress(aAddress)
  , mTimeoutTimer(aLoop, [this]() { Fail(HttpFailureCause::TimedOut); })
{
  bufferevent* stream =
    bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  mConnection = evhttp_connection_base_bufferevent_new(
    aLoop.Base(), nullptr, stream, aAddress.mHost.c_str(), aAddress.mPort);
  evhttp_connection_set_retries(mConnection, 0);
  evhttp_connection_set_max_body_size(mConnection, kMaximumReplyBytes);
  evbuffer_add_cb(
    bufferevent_get_output(stream), &HttpClientConnection::OnOutput, this);
}

HttpClientConnection::~HttpClientConnection()
{
  mDone = nullptr;
  evhttp_connection_set_closecb(mConnection, nullptr, nullptr);
  bufferevent* stream = evhttp_connection_get_bufferevent(mConnection);
  evbuffer_remove_cb(
    bufferevent_get_output(stream), &HttpClientConnection::OnOutput, this);
  if (!mCallbackState) {
    // Freed immediately, so that a request that was reported as not run can
    // not be sent any more.
    evhttp_connection_free(mConnection);
    return;
  }
  *mCallbackState = CallbackState::OwnerDestroyed;
  // libevent still uses the connection during its callback. The exchange has
  // ended, so nothing can be sent until the connection is freed.
  evhttp_connection* connection = mConnection;
  mLoop.Defer([connection]() { evhttp_connection_free(connection); });
}

void
HttpClientConnection::Send(const HttpRequest& aRequest,
                           Duration aTimeout,
                           Done aDone)
{
  VERIFY(IsIdle() && mUsable);
  mDone = std::move(aDone);
  mBytesSent = 0;
  evhttp_request* raw =
    evhttp_request_new(&HttpClientConnection::OnFinished, this);
  evkeyvalq* headers = evhttp_request_get_output_headers(raw);
  evhttp_add_header(headers, "Host", SocketAddressText(mAddress).c_str());
  evhttp_add_header(headers, "Connection", "keep-alive");
  if (!aRequest.mBody.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(raw),
                 aRequest.mBody.data(),
                 aRequest.mBody.size());
  }
  mTimeoutTimer.Start(aTimeout);
  const int status = evhttp_make_request(mConnection,
                                         raw,
                                         EvhttpCommandOf(aRequest.mMethod),
                                         RequestUri(aRequest).c_str());
  if (status != 0) {
    // libevent has freed the request. The failure is reported by the timer, so
    // that aDone is called from the loop as in all other cases.
    mTimeoutTimer.Start(Duration(0));
  }
}

sigc::signal<void()>&
HttpClientConnection::IdleClosed()
{
  return mIdleClosed;
}

bool
HttpClientConnection::IsIdle() const
{
  return mDone == nullptr;
}

bool
HttpClientConnection::IsUsable() const
{
  return mUsable;
}

void
HttpClientConnection::OnFinished(evhttp_request* aRaw, void* aConnection)
{
  HttpClientConnection* self = static_cast<HttpClientConnection*>(aConnection);
  if (self->mDone == nullptr) {
    return;
  }
  CallbackState state = CallbackState::Running;
  self->mCallbackState = &state;
  self->FinishWith(aRaw);
  if (state == CallbackState::Running) {
    self->mCallbackState = nullptr;
  }
}

void
HttpClientConnection::FinishWith(evhttp_request* aRaw)
{
  if (aRaw == nullptr || evhttp_request_get_response_code(aRaw) == 0) {
    Fail(mBytesSent == 0 ? HttpFailureCause::NotConnected
                         : HttpFailureCause::ConnectionLost);
    return;
  }
  HttpReply reply;
  reply.mStatus = evhttp_request_get_response_code(aRaw);
  evbuffer* body = evhttp_request_get_input_buffer(aRaw);
  reply.mBody.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, reply.mBody.data(), reply.mBody.size());
  Finish(std::move(reply));
}

void
HttpClientConnection::OnClosed(evhttp_connection*, void* aConnection)
{
  HttpClientConnection* self = static_cast<HttpClientConnection*>(aConnection);
  if (self->IsIdle() && self->mUsable) {
    self->mUsable = false;
    self->mIdleClosed.emit();
  }
}

void
HttpClientConnection::OnOutput(evbuffer*,
                               const evbuffer_cb_info* aInfo,
                               void* aConnection)
{
  // Bytes are removed from this buffer when they are written to the socket.
  static_cast<HttpClientConnection*>(aConnection)->mBytesSent +=
    aInfo->n_deleted;
}

void
HttpClientConnection::Finish(const HttpOutcome& aOutcome)
{
  mTimeoutTimer.Stop();
  Done done = std::exchange(mDone, nullptr);
  if (done) {
    done(aOutcome);
  }
}

void
HttpClientConnection::Fail(HttpFailureCause aCause)
{
  mUsable = false;
  const Execution execution =
    mBytesSent == 0 ? Execution::NotRun : Execution::OutcomeUnknown;
  Finish(HttpFailure{ aCause, execution });
}

} // namespace verbenachute
