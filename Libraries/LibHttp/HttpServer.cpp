#include <LibHttp/HttpServer.h>

#include <algorithm>
#include <cstdlib>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <optional>
#include <utility>

namespace verbenachute {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotImplemented = 501;

std::optional<HttpMethod>
MethodOf(const std::string& aName)
{
  static const std::pair<const char*, HttpMethod> kMethods[] = {
    { "GET", HttpMethod::Get },
    { "POST", HttpMethod::Post },
    { "PUT", HttpMethod::Put },
    { "DELETE", HttpMethod::Delete },
  };
  const auto method =
    std::find_if(std::begin(kMethods),
                 std::end(kMethods),
                 [&](const auto& aEntry) { return aEntry.first == aName; });
  return method == std::end(kMethods) ? std::nullopt
                                      : std::optional(method->second);
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

} // namespace

Result<std::unique_ptr<HttpServer>>
HttpServer::Create(EventLoop& aLoop,
                   const SocketAddress& aAddress,
                   const HttpLimits& aLimits,
                   const ClientResources& aResources)
{
  std::unique_ptr<HttpServer> server(new HttpServer());
  ServerLimits limits;
  limits.mMessage.mHeaderBytes = aLimits.mHeaderBytes;
  limits.mMessage.mBodyBytes = aLimits.mBodyBytes;
  limits.mIdleTimeout = aLimits.mIdleTimeout;
  Result<std::unique_ptr<HttpListener>> listener = HttpListener::Create(
    aLoop,
    aAddress,
    limits,
    [self = server.get()](const std::shared_ptr<HttpCall>& aCall) {
      self->Handle(aCall);
    },
    aResources);
  if (IsError(listener)) {
    return ErrorOf(listener);
  }
  server->mListener = ReleaseValue(std::move(listener));
  return server;
}

HttpServer::RequestArrivedSignal&
HttpServer::RequestArrived()
{
  return mRequestArrived;
}

void
HttpServer::Handle(const std::shared_ptr<HttpCall>& aCall)
{
  const std::optional<HttpMethod> method = MethodOf(aCall->mMethod);
  if (!method.has_value()) {
    aCall->Respond(kNotImplemented, HttpFields(), "");
    return;
  }
  const std::unique_ptr<evhttp_uri, decltype(&evhttp_uri_free)> uri(
    evhttp_uri_parse(aCall->mTarget.c_str()), &evhttp_uri_free);
  const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri.get());
  if (path == nullptr) {
    aCall->Respond(kBadRequest, HttpFields(), "");
    return;
  }
  HttpRequest request;
  request.mMethod = *method;
  request.mPath = UriDecoded(path);
  ReadParameters(evhttp_uri_get_query(uri.get()), &request.mParameters);
  request.mBody = std::move(aCall->mBody);
  mRequestArrived.emit(
    std::make_shared<HttpExchange>(aCall, std::move(request)));
}

} // namespace verbenachute
