#include <LibTransport/EventLoop.h>

#include <csignal>
#include <event2/event.h>
#include <utility>

namespace verbenachute {

namespace {

constexpr int kWatchedSignals[] = { SIGTERM, SIGINT, SIGHUP };

} // namespace

Result<std::unique_ptr<EventLoop>>
EventLoop::Create()
{
  // A write to a connection that the peer has closed must fail with EPIPE
  // instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  std::unique_ptr<EventLoop> loop(new EventLoop());
  loop->mBase = event_base_new();
  if (loop->mBase == nullptr) {
    return Error{
      Step::Settings, ErrorCode::Internal, "", "the event loop did not start"
    };
  }
  EventLoop* self = loop.get();
  self->mDeferredEvent = event_new(
    self->mBase,
    -1,
    0,
    [](evutil_socket_t, short, void* aLoop) {
      static_cast<EventLoop*>(aLoop)->RunDeferred();
    },
    self);
  for (const int number : kWatchedSignals) {
    event* signalEvent = evsignal_new(
      self->mBase,
      number,
      [](evutil_socket_t aNumber, short, void* aLoop) {
        EventLoop* owner = static_cast<EventLoop*>(aLoop);
        if (aNumber == SIGHUP) {
          owner->mReloadRequested.emit();
          return;
        }
        owner->mSignalArrived.emit(static_cast<int>(aNumber));
      },
      self);
    event_add(signalEvent, nullptr);
    self->mSignalEvents.push_back(signalEvent);
  }
  return loop;
}

EventLoop::~EventLoop()
{
  for (event* signalEvent : mSignalEvents) {
    event_free(signalEvent);
  }
  if (mDeferredEvent != nullptr) {
    event_free(mDeferredEvent);
  }
  if (mBase != nullptr) {
    event_base_free(mBase);
  }
}

void
EventLoop::Run()
{
  while (!mStopped) {
    event_base_loop(mBase, EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    mReadDelayEstimator.OnIterationEnd(mClock.Now());
  }
  mStopped = false;
}

void
EventLoop::Stop()
{
  mStopped = true;
  event_base_loopbreak(mBase);
}

void
EventLoop::Defer(std::function<void()> aTask)
{
  mDeferred.push_back(std::move(aTask));
  event_active(mDeferredEvent, EV_TIMEOUT, 0);
}

sigc::signal<void(int)>&
EventLoop::SignalArrived()
{
  return mSignalArrived;
}

sigc::signal<void()>&
EventLoop::ReloadRequested()
{
  return mReloadRequested;
}

Instant
EventLoop::Now() const
{
  const Instant now = mClock.Now();
  mReadDelayEstimator.OnActivity(now);
  return now;
}

Duration
EventLoop::MaximumReadDelay() const
{
  return mReadDelayEstimator.MaximumReadDelay(Now());
}

const Clock&
EventLoop::SystemTime() const
{
  return mClock;
}

event_base*
EventLoop::Base() const
{
  return mBase;
}

void
EventLoop::RunDeferred()
{
  std::vector<std::function<void()>> tasks;
  tasks.swap(mDeferred);
  for (const std::function<void()>& task : tasks) {
    task();
  }
}

} // namespace verbenachute
