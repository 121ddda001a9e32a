#pragma once

#include <LibTransport/HttpMessage.h>

#include <sigc++/sigc++.h>

struct evhttp_request;
struct evhttp_connection;

namespace verbenachute {

/// One request that a server has received, and its reply. It may outlive the
/// connection; a reply after the caller has disconnected is dropped.
class HttpExchange
{
public:
  HttpExchange(evhttp_request* aRaw, HttpRequest aRequest);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  [[nodiscard]] const HttpRequest& Request() const;
  /// Sends the reply. It must not be called twice.
  void Reply(const HttpReply& aReply);
  /// Emitted if the caller disconnects before the reply.
  [[nodiscard]] sigc::signal<void()>& CallerDisconnected();

private:
  static void OnClosed(evhttp_connection* aConnection, void* aExchange);

  evhttp_request* mRaw;
  HttpRequest mRequest;
  bool mReplied = false;
  sigc::signal<void()> mCallerDisconnected;
};

} // namespace verbenachute
