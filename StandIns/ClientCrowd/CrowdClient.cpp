#include "CrowdClient.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace verbenachute::standins {

namespace {

// The limits of the stand-in's configuration, which are the defaults.
constexpr std::size_t kBodyBytes = 262'144;
constexpr std::size_t kHeaderBytes = 16'000;
constexpr std::size_t kChunkBytes = 4'096;
constexpr std::size_t kRequestsWithoutPause = 2'000;
constexpr std::size_t kLongResponses = 8;
constexpr std::size_t kSlowBytes = 100;
// The largest frame between nodes; its header is a length of four bytes and a
// kind.
constexpr std::uint32_t kFrameBytes = 1'048'576;
constexpr char kFrameKind = 4;

std::string
Head(const std::string& aMethod,
     const std::string& aPath,
     const std::string& aFields)
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: dock.example\r\n" +
         aFields;
}

std::string
WithLength(const std::string& aPath)
{
  return Head("POST",
              aPath,
              "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n");
}

CrowdScript
Bodies()
{
  return { WithLength("/one/") + std::string(kBodyBytes - 1, 'b') };
}

CrowdScript
Chunked()
{
  std::string bytes =
    Head("POST", "/one/", "Transfer-Encoding: chunked\r\n\r\n");
  for (std::size_t sent = 0; sent < kBodyBytes; sent += kChunkBytes) {
    bytes += "1000\r\n" + std::string(kChunkBytes, 'c') + "\r\n";
  }
  return { bytes };
}

CrowdScript
Heads()
{
  return { Head("GET", "/one/", "X-Fill: " + std::string(kHeaderBytes, 'h')) };
}

CrowdScript
Pipelined()
{
  return { Head("GET", "/one/", "\r\n"), kRequestsWithoutPause };
}

CrowdScript
SlowReaders()
{
  return { Head("GET", "/one/", "\r\n"), kLongResponses, kSlowBytes };
}

CrowdScript
HalfOpen()
{
  return { "" };
}

CrowdScript
Queries()
{
  return { WithLength("/all/") + std::string(kBodyBytes, 'q') };
}

CrowdScript
ShortQueries()
{
  return { Head("GET", "/all/", "\r\n"), kRequestsWithoutPause, kSlowBytes };
}

CrowdScript
Fields()
{
  std::string fields;
  while (fields.size() < kHeaderBytes) {
    fields += "a:\r\n";
  }
  return { Head("GET", "/one/", fields) };
}

CrowdScript
Frames()
{
  const std::uint32_t length = htonl(kFrameBytes);
  std::string bytes(reinterpret_cast<const char*>(&length), sizeof(length));
  bytes += kFrameKind;
  return { bytes + std::string(kFrameBytes - 1, 'f') };
}

} // namespace

CrowdScript
ScriptOf(CrowdKind aKind)
{
  static const std::pair<CrowdKind, CrowdScript (*)()> kScripts[] = {
    { CrowdKind::Bodies, &Bodies },
    { CrowdKind::Chunked, &Chunked },
    { CrowdKind::Heads, &Heads },
    { CrowdKind::Pipelined, &Pipelined },
    { CrowdKind::SlowReaders, &SlowReaders },
    { CrowdKind::HalfOpen, &HalfOpen },
    { CrowdKind::Queries, &Queries },
    { CrowdKind::ShortQueries, &ShortQueries },
    { CrowdKind::Fields, &Fields },
    { CrowdKind::Frames, &Frames },
  };
  return std::find_if(
           std::begin(kScripts),
           std::end(kScripts),
           [aKind](const auto& aEntry) { return aEntry.first == aKind; })
    ->second();
}

CrowdClient::CrowdClient(const CrowdScript& aScript, std::uint16_t aPort)
  : mScript(aScript)
  , mSocket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
  // A small window, so that unread responses stay with the sender.
  constexpr int kWindowBytes = 4'096;
  if (mScript.mTimes > 1) {
    setsockopt(
      mSocket, SOL_SOCKET, SO_RCVBUF, &kWindowBytes, sizeof(kWindowBytes));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(mSocket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    Close();
  }
}

CrowdClient::~CrowdClient()
{
  Close();
}

void
CrowdClient::Close()
{
  if (mSocket >= 0) {
    close(std::exchange(mSocket, -1));
  }
}

std::size_t
CrowdClient::Advance()
{
  if (mSocket < 0) {
    return 0;
  }
  const std::size_t sent = Send();
  return sent + Read();
}

std::size_t
CrowdClient::Send()
{
  const std::size_t size = mScript.mBytes.size();
  std::size_t moved = 0;
  while (mSent < size * mScript.mTimes) {
    const std::size_t offset = mSent % size;
    const ssize_t sent = send(mSocket,
                              mScript.mBytes.data() + offset,
                              size - offset,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      if (errno != EAGAIN && errno != ENOTCONN) {
        Close();
      }
      break;
    }
    mSent += static_cast<std::size_t>(sent);
    moved += static_cast<std::size_t>(sent);
  }
  return moved;
}

std::size_t
CrowdClient::Read()
{
  if (mSocket < 0 || mScript.mReadBytes == 0) {
    return 0;
  }
  std::vector<char> bytes(mScript.mReadBytes);
  const ssize_t received =
    recv(mSocket, bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (received == 0) {
    Close();
  }
  return received > 0 ? static_cast<std::size_t>(received) : 0;
}

} // namespace verbenachute::standins
