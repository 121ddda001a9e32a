#include <LibHttp/HttpExchange.h>

#include <LibCore/Verify.h>

#include <utility>

namespace verbenachute {

HttpExchange::HttpExchange(std::shared_ptr<HttpCall> aCall,
                           HttpRequest aRequest)
  : mCall(std::move(aCall))
  , mRequest(std::move(aRequest))
{
}

HttpExchange::~HttpExchange()
{
  // Replies in any case, so that no caller has to wait for its own timeout.
  if (!mReplied) {
    Reply(HttpReply{ 500, "text/plain", "the request was dropped\n" });
  }
}

void
HttpExchange::Reply(const HttpReply& aReply)
{
  VERIFY(!mReplied);
  mReplied = true;
  HttpFields fields;
  fields.Add("Content-Type", aReply.mContentType);
  mCall->Respond(aReply.mStatus, fields, aReply.mBody);
}

} // namespace verbenachute
