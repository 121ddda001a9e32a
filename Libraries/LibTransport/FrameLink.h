#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/MemoryBudget.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/Timer.h>

#include <cstdint>
#include <memory>
#include <string>

struct bufferevent;

namespace verbenachute {

/// Type of the payload of a frame; sent as its number.
enum class FrameKind : std::uint8_t
{
  /// NodeIdentityText of the sender; the first frame in each direction.
  Hello,
  /// A batch of messages, encoded by MessageCodec.
  Batch,
  /// A JSON-RPC request as JSON text.
  ControlRequest,
  /// A JSON-RPC reply as JSON text.
  ControlReply,
  /// One message, encoded by GatherCodec.
  Gather,
};

/// A TCP connection between two nodes that carries frames. A frame is the
/// length of the payload in four bytes in network byte order, one byte of
/// FrameKind, and the payload.
class FrameLink final : private MemoryBudget::Holder
{
public:
  using FrameArrivedSignal = sigc::signal<void(FrameKind, const std::string&)>;

  /// Largest payload of one frame in bytes. The link closes if it receives a
  /// larger one.
  static constexpr std::uint32_t kMostBytes = 16 * 1024 * 1024;

  /// Starts to connect. Connected or Closed reports the result. aBudget may be
  /// null, and must outlive the link otherwise; a link that it evicts closes.
  [[nodiscard]] static std::unique_ptr<FrameLink> Dial(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    std::uint32_t aMaximumPayloadBytes = kMostBytes,
    MemoryBudget* aBudget = nullptr);
  /// Takes ownership of an accepted socket. For aBudget see Dial.
  [[nodiscard]] static std::unique_ptr<FrameLink> Adopt(
    EventLoop& aLoop,
    int aSocket,
    std::uint32_t aMaximumPayloadBytes = kMostBytes,
    MemoryBudget* aBudget = nullptr);
  ~FrameLink();
  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;

  /// Queues a frame for sending; does nothing on a closed link.
  void Send(FrameKind aKind, const std::string& aPayload);
  /// Bytes that are queued and not yet written to the socket.
  [[nodiscard]] std::size_t Backlog() const;

  [[nodiscard]] sigc::signal<void()>& Connected();
  /// A handler of these signals may destroy the link only from a deferred task.
  [[nodiscard]] FrameArrivedSignal& FrameArrived();
  /// Emitted once, when the connection could not be established, broke, was
  /// closed by the peer or received a malformed frame.
  [[nodiscard]] sigc::signal<void()>& Closed();

private:
  FrameLink(EventLoop& aLoop,
            bufferevent* aStream,
            std::uint32_t aMaximumPayloadBytes,
            MemoryBudget* aBudget);
  void OnEvicted() override;
  [[nodiscard]] std::size_t HeldBytes() const override;
  void ReportMemory();
  void InstallCallbacks();
  void ReadFrames();
  void Close();

  EventLoop& mLoop;
  bufferevent* mStream;
  std::uint32_t mMaximumPayloadBytes;
  MemoryBudget* mBudget;
  /// Bytes of the last report to the budget.
  std::size_t mReportedBytes = 0;
  Timer mEvictionTimer;
  bool mClosed = false;
  sigc::signal<void()> mConnected;
  FrameArrivedSignal mFrameArrived;
  sigc::signal<void()> mClosedSignal;
};

} // namespace verbenachute
