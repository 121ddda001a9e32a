#include <LibTransport/HttpExchange.h>

#include <LibCore/Verify.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <utility>

namespace verbenachute {

HttpExchange::HttpExchange(evhttp_request* aRaw, HttpRequest aRequest)
  : mRaw(aRaw)
  , mRequest(std::move(aRequest))
{
  evhttp_connection_set_closecb(
    evhttp_request_get_connection(mRaw), &HttpExchange::OnClosed, this);
}

HttpExchange::~HttpExchange()
{
  // Replies in any case, so that no caller has to wait for its own timeout.
  if (mRaw != nullptr && !mReplied) {
    Reply(HttpReply{ 500, "text/plain", "the request was dropped\n" });
  }
}

const HttpRequest&
HttpExchange::Request() const
{
  return mRequest;
}

void
HttpExchange::Reply(const HttpReply& aReply)
{
  VERIFY(!mReplied);
  mReplied = true;
  if (mRaw == nullptr) {
    return;
  }
  evhttp_request* raw = std::exchange(mRaw, nullptr);
  evhttp_connection_set_closecb(
    evhttp_request_get_connection(raw), nullptr, nullptr);
  evhttp_add_header(evhttp_request_get_output_headers(raw),
                    "Content-Type",
                    aReply.mContentType.c_str());
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, aReply.mBody.data(), aReply.mBody.size());
  evhttp_send_reply(raw, aReply.mStatus, nullptr, body);
  evbuffer_free(body);
}

sigc::signal<void()>&
HttpExchange::CallerDisconnected()
{
  return mCallerDisconnected;
}

void
HttpExchange::OnClosed(evhttp_connection*, void* aExchange)
{
  HttpExchange* exchange = static_cast<HttpExchange*>(aExchange);
  exchange->mRaw = nullptr;
  exchange->mCallerDisconnected.emit();
}

} // namespace verbenachute
