#include "Callers.h"

#include <LibTransport/SocketOptions.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utility>

namespace verbenachute::review {

namespace {

constexpr std::string_view kEndOfHead = "\r\n\r\n";
constexpr std::string_view kStatusLine = "HTTP/1.1 ";
constexpr std::string_view kLengthField = "\r\ncontent-length:";
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kDecimal = 10;

/// Length of the body that follows a head (RFC 9112, section 6.3). The tier
/// gives each body a length.
std::size_t
BodyLength(const std::string& aHead, int aStatus)
{
  if (aStatus == kNoContent || aStatus == kNotModified) {
    return 0;
  }
  std::string head = aHead;
  std::transform(
    head.begin(), head.end(), head.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  const std::size_t at = head.find(kLengthField);
  return at == std::string::npos
           ? 0
           : std::strtoull(
               head.c_str() + at + kLengthField.size(), nullptr, kDecimal);
}

} // namespace

Callers::Callers(EventLoop& aLoop,
                 const SocketAddress& aAddress,
                 Unasked aUnasked)
  : mStream(bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE))
  , mUnasked(std::move(aUnasked))
{
  bufferevent_setcb(
    mStream,
    [](bufferevent*, void* aSelf) { static_cast<Callers*>(aSelf)->Read(); },
    nullptr,
    [](bufferevent*, short aWhat, void* aSelf) {
      if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        static_cast<Callers*>(aSelf)->mEnded = true;
      }
    },
    this);
  sockaddr_in address = SocketAddressOf(aAddress);
  const int connected = bufferevent_socket_connect(
    mStream, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  mEnded = connected != 0;
  bufferevent_enable(mStream, EV_READ | EV_WRITE);
}

Callers::~Callers()
{
  bufferevent_free(mStream);
}

void
Callers::Send(const std::string& aRequest, Answered aAnswered)
{
  mAnswered = std::move(aAnswered);
  bufferevent_write(mStream, aRequest.data(), aRequest.size());
}

void
Callers::Read()
{
  evbuffer* input = bufferevent_get_input(mStream);
  const std::size_t size = evbuffer_get_length(input);
  std::string bytes(size, '\0');
  evbuffer_remove(input, bytes.data(), size);
  mInput += bytes;
  while (!mInput.empty()) {
    const bool begins =
      std::string_view(mInput).substr(0, kStatusLine.size()) ==
      kStatusLine.substr(0, std::min(mInput.size(), kStatusLine.size()));
    if (!mAnswered || !begins) {
      mUnasked(std::exchange(mInput, {}));
      mEnded = true;
      return;
    }
    const std::size_t end = mInput.find(kEndOfHead);
    if (end == std::string::npos) {
      return;
    }
    Answer answer;
    answer.mHead = mInput.substr(0, end + kEndOfHead.size());
    answer.mStatus = std::atoi(answer.mHead.c_str() + kStatusLine.size());
    const std::size_t length = BodyLength(answer.mHead, answer.mStatus);
    if (mInput.size() < answer.mHead.size() + length) {
      return;
    }
    answer.mBody = mInput.substr(answer.mHead.size(), length);
    mInput.erase(0, answer.mHead.size() + length);
    std::exchange(mAnswered, nullptr)(answer);
  }
}

} // namespace verbenachute::review
