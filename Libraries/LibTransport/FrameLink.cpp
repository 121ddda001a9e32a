#include <LibTransport/FrameLink.h>
#include <LibTransport/SocketOptions.h>

#include <algorithm>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <utility>

namespace verbenachute {

namespace {

constexpr std::size_t kHeaderBytes = 5;

} // namespace

std::unique_ptr<FrameLink>
FrameLink::Dial(EventLoop& aLoop,
                const SocketAddress& aAddress,
                std::uint32_t aMaximumPayloadBytes,
                MemoryBudget* aBudget)
{
  bufferevent* stream =
    bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  std::unique_ptr<FrameLink> link(
    new FrameLink(aLoop, stream, aMaximumPayloadBytes, aBudget));
  link->InstallCallbacks();
  sockaddr_in address = SocketAddressOf(aAddress);
  // An immediate failure is reported through the event callback as well.
  static_cast<void>(bufferevent_socket_connect(
    stream, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  return link;
}

std::unique_ptr<FrameLink>
FrameLink::Adopt(EventLoop& aLoop,
                 int aSocket,
                 std::uint32_t aMaximumPayloadBytes,
                 MemoryBudget* aBudget)
{
  evutil_make_socket_nonblocking(aSocket);
  TuneSocket(aSocket, PeerTimeouts());
  std::unique_ptr<FrameLink> link(new FrameLink(
    aLoop,
    bufferevent_socket_new(aLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE),
    aMaximumPayloadBytes,
    aBudget));
  link->InstallCallbacks();
  return link;
}

FrameLink::FrameLink(EventLoop& aLoop,
                     bufferevent* aStream,
                     std::uint32_t aMaximumPayloadBytes,
                     MemoryBudget* aBudget)
  : mLoop(aLoop)
  , mStream(aStream)
  , mMaximumPayloadBytes(aMaximumPayloadBytes)
  , mBudget(aBudget)
  , mEvictionTimer(aLoop, [this]() { Close(); })
{
}

FrameLink::~FrameLink()
{
  if (mBudget != nullptr) {
    mBudget->Remove(this);
  }
  bufferevent_free(mStream);
}

std::size_t
FrameLink::HeldBytes() const
{
  return evbuffer_get_length(bufferevent_get_input(mStream)) +
         evbuffer_get_length(bufferevent_get_output(mStream));
}

void
FrameLink::ReportMemory()
{
  if (mBudget == nullptr || mClosed || mEvictionTimer.IsRunning()) {
    return;
  }
  const std::size_t before = std::exchange(mReportedBytes, HeldBytes());
  // Growth is progress of the sender. The budget itself counts what drains.
  const std::size_t moved = mReportedBytes - std::min(before, mReportedBytes);
  mBudget->Update(
    this, MemoryBudget::Use::PeerFrames, mReportedBytes, moved, mLoop.Now());
}

void
FrameLink::OnEvicted()
{
  // Many links may be read before the timer expires.
  DiscardBuffers(mStream);
  // From the loop, since the budget may be called while this link is in use.
  mEvictionTimer.Start(Duration(0));
}

void
FrameLink::Send(FrameKind aKind, const std::string& aPayload)
{
  if (mClosed) {
    return;
  }
  const std::uint32_t length =
    htonl(static_cast<std::uint32_t>(aPayload.size()));
  char header[kHeaderBytes];
  std::memcpy(header, &length, sizeof(length));
  header[sizeof(length)] = static_cast<char>(aKind);
  evbuffer* output = bufferevent_get_output(mStream);
  evbuffer_add(output, header, sizeof(header));
  evbuffer_add(output, aPayload.data(), aPayload.size());
  ReportMemory();
}

std::size_t
FrameLink::Backlog() const
{
  return evbuffer_get_length(bufferevent_get_output(mStream));
}

sigc::signal<void()>&
FrameLink::Connected()
{
  return mConnected;
}

FrameLink::FrameArrivedSignal&
FrameLink::FrameArrived()
{
  return mFrameArrived;
}

sigc::signal<void()>&
FrameLink::Closed()
{
  return mClosedSignal;
}

void
FrameLink::InstallCallbacks()
{
  bufferevent_setcb(
    mStream,
    [](bufferevent*, void* aLink) {
      static_cast<FrameLink*>(aLink)->ReadFrames();
    },
    [](bufferevent*, void* aLink) {
      static_cast<FrameLink*>(aLink)->ReportMemory();
    },
    [](bufferevent* aStream, short aEvents, void* aLink) {
      FrameLink* link = static_cast<FrameLink*>(aLink);
      if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
        TuneSocket(SocketOf(aStream), PeerTimeouts());
        link->mConnected.emit();
        return;
      }
      link->Close();
    },
    this);
  bufferevent_enable(mStream, EV_READ | EV_WRITE);
}

void
FrameLink::ReadFrames()
{
  evbuffer* input = bufferevent_get_input(mStream);
  while (!mClosed && evbuffer_get_length(input) >= kHeaderBytes) {
    char header[kHeaderBytes];
    evbuffer_copyout(input, header, sizeof(header));
    std::uint32_t length = 0;
    std::memcpy(&length, header, sizeof(length));
    length = ntohl(length);
    const std::uint8_t kind = static_cast<std::uint8_t>(header[4]);
    if (length > mMaximumPayloadBytes ||
        kind > static_cast<std::uint8_t>(FrameKind::Gather)) {
      Close();
      return;
    }
    if (evbuffer_get_length(input) < kHeaderBytes + length) {
      break;
    }
    evbuffer_drain(input, kHeaderBytes);
    std::string payload(length, '\0');
    evbuffer_remove(input, payload.data(), length);
    mFrameArrived.emit(static_cast<FrameKind>(kind), payload);
  }
  ReportMemory();
}

void
FrameLink::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mEvictionTimer.Stop();
  if (mBudget != nullptr) {
    mBudget->Remove(this);
  }
  bufferevent_disable(mStream, EV_READ | EV_WRITE);
  mClosedSignal.emit();
}

} // namespace verbenachute
