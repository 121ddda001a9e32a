#include <LibTransport/HttpServer.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <utility>

namespace verbenachute {

namespace {

constexpr int kAllowedMethods =
  EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE;

HttpMethod
MethodOf(evhttp_request* aRaw)
{
  switch (evhttp_request_get_command(aRaw)) {
    case EVHTTP_REQ_POST:
      return HttpMethod::Post;
    case EVHTTP_REQ_PUT:
      return HttpMethod::Put;
    case EVHTTP_REQ_DELETE:
      return HttpMethod::Delete;
    default:
      return HttpMethod::Get;
  }
}

std::string
UriDecoded(const char* aText)
{
  std::size_t size = 0;
  char* decoded = evhttp_uridecode(aText, 0, &size);
  if (decoded == nullptr) {
    return "";
  }
  std::string text(decoded, size);
  std::free(decoded);
  return text;
}

void
ReadParameters(const char* aQuery,
               std::map<std::string, std::string>* aParameters)
{
  evkeyvalq parsed{};
  if (aQuery == nullptr || evhttp_parse_query_str(aQuery, &parsed) != 0) {
    return;
  }
  for (const evkeyval* entry = parsed.tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    aParameters->emplace(entry->key, entry->value);
  }
  evhttp_clear_headers(&parsed);
}

std::string
BodyOf(evhttp_request* aRaw)
{
  evbuffer* buffer = evhttp_request_get_input_buffer(aRaw);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

} // namespace

Result<std::unique_ptr<HttpServer>>
HttpServer::Create(EventLoop& aLoop,
                   const SocketAddress& aAddress,
                   const HttpLimits& aLimits)
{
  std::unique_ptr<HttpServer> server(new HttpServer());
  server->mServer = evhttp_new(aLoop.Base());
  evhttp_set_max_headers_size(server->mServer,
                              static_cast<ev_ssize_t>(aLimits.mHeaderBytes));
  evhttp_set_max_body_size(server->mServer,
                           static_cast<ev_ssize_t>(aLimits.mBodyBytes));
  evhttp_set_timeout(server->mServer,
                     static_cast<int>(aLimits.mIdleTimeout.count()));
  evhttp_set_allowed_methods(server->mServer, kAllowedMethods);
  evhttp_set_gencb(
    server->mServer,
    [](evhttp_request* aRaw, void* aServer) {
      static_cast<HttpServer*>(aServer)->Handle(aRaw);
    },
    server.get());
  const evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(
    server->mServer, aAddress.mHost.c_str(), aAddress.mPort);
  if (socket == nullptr) {
    return Error{ Step::Settings,
                  ErrorCode::Unavailable,
                  aAddress.mHost + ":" + std::to_string(aAddress.mPort),
                  "the address can not be bound" };
  }
  return server;
}

HttpServer::~HttpServer()
{
  if (mServer != nullptr) {
    evhttp_free(mServer);
  }
}

HttpServer::RequestArrivedSignal&
HttpServer::RequestArrived()
{
  return mRequestArrived;
}

void
HttpServer::Handle(evhttp_request* aRaw)
{
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRaw);
  const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  if (path == nullptr) {
    evhttp_send_error(aRaw, HTTP_BADREQUEST, nullptr);
    return;
  }
  HttpRequest request;
  request.mMethod = MethodOf(aRaw);
  request.mPath = UriDecoded(path);
  ReadParameters(evhttp_uri_get_query(uri), &request.mParameters);
  request.mBody = BodyOf(aRaw);
  mRequestArrived.emit(
    std::make_shared<HttpExchange>(aRaw, std::move(request)));
}

} // namespace verbenachute
