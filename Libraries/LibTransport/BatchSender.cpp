#include <LibTransport/BatchSender.h>

#include <LibWire/MessageCodec.h>

#include <utility>

namespace verbenachute {

BatchSender::BatchSender(EventLoop& aLoop, FrameLink& aLink)
  : mLoop(aLoop)
  , mLink(aLink)
  , mSelf(std::make_shared<BatchSender*>(this))
{
}

BatchSender::~BatchSender()
{
  *mSelf = nullptr;
}

void
BatchSender::Queue(PeerMessage aMessage)
{
  mMessages.push_back(std::move(aMessage));
  if (mMessages.size() > 1) {
    return;
  }
  mLoop.Defer([self = mSelf]() {
    if (*self != nullptr) {
      (*self)->Flush();
    }
  });
}

void
BatchSender::Flush()
{
  mLink.Send(FrameKind::Batch, EncodeBatch(mMessages));
  mMessages.clear();
}

} // namespace verbenachute
