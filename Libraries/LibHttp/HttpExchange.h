#pragma once

#include <LibHttp/HttpCall.h>
#include <LibTransport/HttpMessage.h>

#include <memory>

namespace verbenachute {

/// One request that a server has received, and its reply. It may outlive the
/// connection; a reply after the caller has disconnected is dropped.
class HttpExchange
{
public:
  HttpExchange(std::shared_ptr<HttpCall> aCall, HttpRequest aRequest);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  [[nodiscard]] const HttpRequest& Request() const { return mRequest; }
  /// Sends the reply. It must not be called twice.
  void Reply(const HttpReply& aReply);
  /// Emitted if the caller disconnects before the reply.
  [[nodiscard]] sigc::signal<void()>& CallerDisconnected()
  {
    return mCall->CallerDisconnected();
  }

private:
  std::shared_ptr<HttpCall> mCall;
  HttpRequest mRequest;
  bool mReplied = false;
};

} // namespace verbenachute
