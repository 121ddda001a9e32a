#pragma once

#include <LibTransport/EventLoop.h>
#include <LibTransport/FrameLink.h>
#include <LibWire/PeerMessage.h>

#include <memory>
#include <vector>

namespace verbenachute {

/// Collects the messages of one iteration of the loop and sends them over a
/// link as one batch, since a frame costs far more than a message in it.
class BatchSender
{
public:
  BatchSender(EventLoop& aLoop, FrameLink& aLink);
  ~BatchSender();
  BatchSender(const BatchSender&) = delete;
  BatchSender& operator=(const BatchSender&) = delete;

  /// Adds a message to the batch that is sent before the loop waits for events.
  void Queue(PeerMessage aMessage);

private:
  void Flush();

  EventLoop& mLoop;
  FrameLink& mLink;
  std::vector<PeerMessage> mMessages;
  // Set to null by the destructor, so that deferred tasks that run later do
  // nothing.
  std::shared_ptr<BatchSender*> mSelf;
};

} // namespace verbenachute
