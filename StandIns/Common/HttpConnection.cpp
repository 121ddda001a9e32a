#include <Common/HttpConnection.h>

#include <Common/HttpServer.h>
#include <LibCore/Verify.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <cstdlib>
#include <memory>
#include <strings.h>

namespace verbenachute::standins {

namespace {

constexpr std::size_t kMaximumHeadBytes = 64UL * 1024;
constexpr std::size_t kMaximumBodyBytes = 64UL * 1024 * 1024;

std::string
Decoded(const std::string& aText)
{
  std::size_t length = 0;
  const std::unique_ptr<char, decltype(&std::free)> decoded(
    evhttp_uridecode(aText.c_str(), 0, &length), &std::free);
  return decoded ? std::string(decoded.get(), length) : std::string();
}

bool
SameHeader(const std::string& aName, const char* aOther)
{
  return strcasecmp(aName.c_str(), aOther) == 0;
}

} // namespace

std::uint64_t
HttpRequest::NumberOf(const std::string& aParameter) const
{
  const auto found = mParameters.find(aParameter);
  return found == mParameters.end()
           ? 0
           : std::strtoull(found->second.c_str(), nullptr, 10);
}

HttpConnection::HttpConnection(HttpServer& aServer,
                               ConnectionId aId,
                               event_base* aBase,
                               int aSocket)
  : mServer(aServer)
  , mId(aId)
  , mBuffer(bufferevent_socket_new(aBase, aSocket, BEV_OPT_CLOSE_ON_FREE))
{
  VERIFY(mBuffer);
  bufferevent_setcb(
    mBuffer, &InputArrived, &OutputDrained, &EventArrived, this);
  bufferevent_disable(mBuffer, EV_READ);
}

HttpConnection::~HttpConnection()
{
  bufferevent_free(mBuffer);
}

void
HttpConnection::StartReading()
{
  bufferevent_enable(mBuffer, EV_READ | EV_WRITE);
}

void
HttpConnection::Reply(int aStatus,
                      const std::string& aType,
                      const std::string& aBody)
{
  if (!mExchangeOpen) {
    return;
  }
  mExchangeOpen = false;
  mHeadRead = false;
  evbuffer* output = bufferevent_get_output(mBuffer);
  evbuffer_add_printf(output,
                      "HTTP/1.1 %d -\r\nContent-Type: %s\r\n"
                      "Content-Length: %zu\r\n%s\r\n",
                      aStatus,
                      aType.c_str(),
                      aStatus == 204 ? 0 : aBody.size(),
                      mCloseAfterReply ? "Connection: close\r\n" : "");
  if (aStatus != 204) {
    evbuffer_add(output, aBody.data(), aBody.size());
  }
  // A pipelined request may wait in the input already.
  bufferevent_trigger(mBuffer, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void
HttpConnection::InputArrived(bufferevent*, void* aConnection)
{
  static_cast<HttpConnection*>(aConnection)->ReadInput();
}

void
HttpConnection::OutputDrained(bufferevent*, void* aConnection)
{
  HttpConnection* connection = static_cast<HttpConnection*>(aConnection);
  if (connection->mCloseAfterReply && !connection->mExchangeOpen) {
    connection->DropSelf();
  }
}

void
HttpConnection::EventArrived(bufferevent*, short aEvents, void* aConnection)
{
  if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<HttpConnection*>(aConnection)->DropSelf();
  }
}

void
HttpConnection::ReadInput()
{
  if (mExchangeOpen || (mCloseAfterReply && !mHeadRead)) {
    return;
  }
  Progress progress = mHeadRead ? Progress::Complete : ReadHead();
  if (progress == Progress::Complete) {
    progress = ReadBody();
  }
  if (progress == Progress::Malformed) {
    DropSelf();
  }
  if (progress == Progress::Complete) {
    mExchangeOpen = true;
    mServer.mHandler.RequestReceived(mRequest);
  }
}

HttpConnection::Progress
HttpConnection::ReadHead()
{
  evbuffer* input = bufferevent_get_input(mBuffer);
  const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
  if (end.pos < 0) {
    return evbuffer_get_length(input) > kMaximumHeadBytes ? Progress::Malformed
                                                          : Progress::NeedsMore;
  }
  mRequest = HttpRequest{};
  mRequest.mConnection = mId;
  mBodyLength = 0;
  bool firstLine = true;
  while (true) {
    std::size_t length = 0;
    const std::unique_ptr<char, decltype(&std::free)> text(
      evbuffer_readln(input, &length, EVBUFFER_EOL_CRLF_STRICT), &std::free);
    VERIFY(text);
    const std::string line(text.get(), length);
    if (line.empty()) {
      break;
    }
    const Progress progress =
      firstLine ? ReadTarget(line) : ReadHeaderLine(line);
    firstLine = false;
    if (progress == Progress::Malformed) {
      return progress;
    }
  }
  mHeadRead = true;
  return firstLine ? Progress::Malformed : Progress::Complete;
}

HttpConnection::Progress
HttpConnection::ReadTarget(const std::string& aTarget)
{
  const std::size_t first = aTarget.find(' ');
  const std::size_t last = aTarget.rfind(' ');
  if (first == std::string::npos || last == first) {
    return Progress::Malformed;
  }
  mRequest.mMethod = aTarget.substr(0, first);
  const std::string target = aTarget.substr(first + 1, last - first - 1);
  const std::size_t question = target.find('?');
  mRequest.mPath = Decoded(target.substr(0, question));
  if (question == std::string::npos) {
    return Progress::Complete;
  }
  evkeyvalq parameters{};
  if (evhttp_parse_query_str(target.c_str() + question + 1, &parameters) != 0) {
    return Progress::Malformed;
  }
  for (const evkeyval* entry = parameters.tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    mRequest.mParameters[entry->key] = entry->value;
  }
  evhttp_clear_headers(&parameters);
  return Progress::Complete;
}

HttpConnection::Progress
HttpConnection::ReadHeaderLine(const std::string& aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string::npos) {
    return Progress::Malformed;
  }
  const std::string name = aLine.substr(0, colon);
  const std::size_t start = aLine.find_first_not_of(' ', colon + 1);
  const std::string value =
    start == std::string::npos ? std::string() : aLine.substr(start);
  if (SameHeader(name, "Content-Length")) {
    mBodyLength = std::strtoull(value.c_str(), nullptr, 10);
  } else if (SameHeader(name, "Connection") && SameHeader(value, "close")) {
    mCloseAfterReply = true;
  } else if (SameHeader(name, "Expect")) {
    evbuffer_add_printf(bufferevent_get_output(mBuffer),
                        "HTTP/1.1 100 Continue\r\n\r\n");
  }
  return mBodyLength > kMaximumBodyBytes ? Progress::Malformed
                                         : Progress::Complete;
}

HttpConnection::Progress
HttpConnection::ReadBody()
{
  evbuffer* input = bufferevent_get_input(mBuffer);
  if (evbuffer_get_length(input) < mBodyLength) {
    return Progress::NeedsMore;
  }
  mRequest.mBody.resize(mBodyLength);
  evbuffer_remove(input, mRequest.mBody.data(), mBodyLength);
  return Progress::Complete;
}

void
HttpConnection::DropSelf()
{
  mServer.Drop(mId);
}

} // namespace verbenachute::standins
