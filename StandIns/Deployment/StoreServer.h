#pragma once

#include "StoreModel.h"

#include <LibHttp/HttpListener.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/Timer.h>

#include <json/value.h>

#include <list>
#include <memory>

namespace verbenachute::standins {

/// The store on one port, as the users' pages describe it, with the faults
/// that it is told to have.
class StoreServer
{
public:
  enum class Fault
  {
    None,
    /// Calls are answered 503 and do nothing.
    Refusing,
    /// Calls get no answer and do nothing.
    Silent,
    /// Writes are done and get no answer.
    LosingAnswers,
  };

  [[nodiscard]] static Result<std::unique_ptr<StoreServer>>
  Create(EventLoop& aLoop, const SocketAddress& aAddress, StoreModel& aModel);

  void SetFault(Fault aFault);
  /// Each answer is late by this much.
  void SetDelay(Duration aDelay) { mDelay = aDelay; }
  /// Cuts the watches that wait.
  void CutWatches();

private:
  using CallPointer = std::shared_ptr<HttpCall>;

  struct Watch
  {
    CallPointer mCall;
    std::uint64_t mAfter = 0;
    Instant mEnd;
  };

  StoreServer(EventLoop& aLoop, StoreModel& aModel);

  void Handle(const CallPointer& aCall);
  void HandleNow(const CallPointer& aCall);
  void ReadKey(const CallPointer& aCall);
  void ReadRange(const CallPointer& aCall);
  void WaitForChanges(const CallPointer& aCall);
  void Transact(const CallPointer& aCall);
  void Grant(const CallPointer& aCall);
  void Tick();
  [[nodiscard]] bool Answered(const Watch& aWatch, Instant aNow);
  void Respond(const CallPointer& aCall, int aStatus, const Json::Value& aBody);

  EventLoop& mLoop;
  StoreModel& mModel;
  std::unique_ptr<HttpListener> mListener;
  Fault mFault = Fault::None;
  Duration mDelay{ 0 };
  std::list<Watch> mWatches;
  /// Calls that get no answer; kept, so that their connections stay open.
  std::list<CallPointer> mUnanswered;
  /// Calls that are handled late.
  std::list<std::pair<Instant, CallPointer>> mLate;
  Timer mTimer;
};

} // namespace verbenachute::standins
