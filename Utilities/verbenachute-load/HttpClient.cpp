#include "HttpClient.h"

#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <memory>
#include <utility>

namespace verbenachute::load {

namespace {

std::string
BodyOf(evhttp_request* aRequest)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, body.data(), body.size());
  return body;
}

timeval
TimevalOf(Duration aDuration)
{
  const seconds whole = std::chrono::duration_cast<seconds>(aDuration);
  return timeval{ static_cast<time_t>(whole.count()),
                  static_cast<suseconds_t>((aDuration - whole).count()) };
}

} // namespace

HttpClient::~HttpClient()
{
  for (const auto& [address, pool] : mPools) {
    for (evhttp_connection* connection : pool.mIdle) {
      evhttp_connection_free(connection);
    }
  }
}

void
HttpClient::SetConnectionCap(const SocketAddress& aAddress, std::size_t aCap)
{
  mPools[aAddress].mCap = aCap;
}

void
HttpClient::Send(HttpExchange aExchange, Callback aCallback)
{
  Pool& pool = mPools[aExchange.mAddress];
  Waiting waiting{ std::move(aExchange), std::move(aCallback) };
  if (pool.mIdle.empty() && pool.mOpen >= pool.mCap) {
    pool.mWaiting.push_back(std::move(waiting));
    return;
  }
  evhttp_connection* connection = Take(pool, waiting.mExchange.mAddress);
  Start(connection, std::move(waiting));
}

evhttp_connection*
HttpClient::Take(Pool& aPool, const SocketAddress& aAddress)
{
  if (!aPool.mIdle.empty()) {
    evhttp_connection* connection = aPool.mIdle.back();
    aPool.mIdle.pop_back();
    return connection;
  }
  evhttp_connection* connection = evhttp_connection_base_new(
    mLoop.Base(), nullptr, aAddress.mHost.c_str(), aAddress.mPort);
  VERIFY(connection);
  evhttp_connection_set_retries(connection, 0);
  ++aPool.mOpen;
  return connection;
}

void
HttpClient::Start(evhttp_connection* aConnection, Waiting aWaiting)
{
  const HttpExchange& exchange = aWaiting.mExchange;
  const timeval timeout = TimevalOf(exchange.mTimeout);
  evhttp_connection_set_timeout_tv(aConnection, &timeout);
  std::unique_ptr<Open> open = std::make_unique<Open>();
  open->mClient = this;
  open->mAddress = exchange.mAddress;
  open->mConnection = aConnection;
  open->mCallback = std::move(aWaiting.mCallback);
  evhttp_request* request = evhttp_request_new(&Replied, open.get());
  VERIFY(request);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(
    headers, "Host", SocketAddressText(exchange.mAddress).c_str());
  if (!exchange.mBody.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request),
                 exchange.mBody.data(),
                 exchange.mBody.size());
  }
  const evhttp_cmd_type method =
    exchange.mBody.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
  if (evhttp_make_request(
        aConnection, request, method, exchange.mPath.c_str()) == 0) {
    // Replied takes it back.
    static_cast<void>(open.release());
    return;
  }
  mLoop.After(Duration::zero(), [failed = std::make_shared<Open>(*open)]() {
    failed->mClient->PutBack(*failed, 0);
    failed->mCallback(HttpReply{});
  });
}

void
HttpClient::Replied(evhttp_request* aRequest, void* aOpen)
{
  const std::unique_ptr<Open> open(static_cast<Open*>(aOpen));
  HttpReply reply;
  if (aRequest) {
    reply.mStatus = evhttp_request_get_response_code(aRequest);
  }
  if (reply.mStatus != 0) {
    reply.mBody = BodyOf(aRequest);
  }
  open->mClient->PutBack(*open, reply.mStatus);
  open->mCallback(reply);
}

void
HttpClient::PutBack(const Open& aOpen, int aStatus)
{
  Pool& pool = mPools[aOpen.mAddress];
  evhttp_connection* connection = aOpen.mConnection;
  if (aStatus == 0) {
    // evhttp still uses the connection after this callback.
    --pool.mOpen;
    mLoop.After(Duration::zero(),
                [connection]() { evhttp_connection_free(connection); });
  } else {
    pool.mIdle.push_back(connection);
  }
  if (pool.mWaiting.empty()) {
    return;
  }
  mLoop.After(Duration::zero(),
              [this, waiting = std::move(pool.mWaiting.front())]() {
                Send(waiting.mExchange, waiting.mCallback);
              });
  pool.mWaiting.pop_front();
}

} // namespace verbenachute::load
