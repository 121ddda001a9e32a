#pragma once

#include <LibCore/Identifiers.h>
#include <LibTransport/EventLoop.h>

#include <cstdint>
#include <memory>
#include <string>

struct bufferevent;

namespace verbenachute {

/// What the bytes of a frame are.
enum class FrameKind : std::uint8_t
{
  /// NodeIdentityText of the sender; the first frame in each direction.
  Hello,
  /// A batch of MessageCodec.
  Batch,
  /// A JSON-RPC request, preceded by nothing.
  ControlRequest,
  /// A JSON-RPC reply.
  ControlReply,
  /// One message of GatherCodec.
  Gather,
};

/// A TCP connection between two nodes that carries frames: four bytes of
/// length in network order, one byte of kind, and the payload.
class FrameLink
{
public:
  using FrameArrivedSignal = sigc::signal<void(FrameKind, const std::string&)>;

  /// Bytes of the payload of one frame; a longer one breaks the link.
  static constexpr std::uint32_t kMostBytes = 16 * 1024 * 1024;

  /// Starts to connect; the result shows in Connected or Closed.
  [[nodiscard]] static std::unique_ptr<FrameLink> Dial(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    std::uint32_t aMostBytes = kMostBytes);
  /// Takes over an accepted socket.
  [[nodiscard]] static std::unique_ptr<FrameLink>
  Adopt(EventLoop& aLoop, int aSocket, std::uint32_t aMostBytes = kMostBytes);
  ~FrameLink();
  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;

  /// Queues a frame; it goes out as the socket takes it.
  void Send(FrameKind aKind, const std::string& aPayload);
  /// Bytes that are queued and not yet taken by the socket.
  [[nodiscard]] std::size_t Backlog() const;

  [[nodiscard]] sigc::signal<void()>& Connected();
  /// The receiver of these signals may destroy the link in Closed only from
  /// a deferred task.
  [[nodiscard]] FrameArrivedSignal& FrameArrived();
  /// Emitted once, when the connection could not be made, was closed by the
  /// peer or sent a malformed frame.
  [[nodiscard]] sigc::signal<void()>& Closed();

private:
  FrameLink(bufferevent* aStream, std::uint32_t aMostBytes);
  void InstallCallbacks();
  void ReadFrames();
  void Close();

  bufferevent* mStream;
  std::uint32_t mMostBytes;
  bool mClosed = false;
  sigc::signal<void()> mConnected;
  FrameArrivedSignal mFrameArrived;
  sigc::signal<void()> mClosedSignal;
};

} // namespace verbenachute
