#pragma once

#include <LibHttp/HttpListener.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/Timer.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace verbenachute::review {

class Soak;

/// How a searcher stands in the store.
struct SearcherShape
{
  std::string mId;
  std::string mService;
  std::string mZone;
  SocketAddress mAddress;
  unsigned mSlots = 4;
  unsigned mQueue = 12;
  /// Time of a request.
  Duration mWork = milliseconds(10);
};

/// What a searcher does with a request that it has run.
enum class Answer
{
  Success,
  /// A failure of its own, with its stamp and without Not-Executed.
  OwnFailure,
  /// None; the connection stays open.
  Silence,
  /// Success without content.
  NoContent,
  /// The same, with a second answer after it that stands in its length.
  NoContentAndMore,
};

/// One searcher: it tells of itself in the store, and runs requests in slots.
class EntrySearcher
{
public:
  using Choose = std::function<Answer(const std::string& aRequestId)>;

  EntrySearcher(EventLoop& aLoop, Soak& aSoak, const SearcherShape& aShape);

  /// Listens and writes the entry; false if the address can not be bound.
  [[nodiscard]] bool Start();
  void SetAnswers(Choose aChoose) { mChoose = std::move(aChoose); }
  void SetWork(Duration aWork) { mShape.mWork = aWork; }
  /// A request with this text in its path crashes the searcher, so long after
  /// it has begun to run it, and the searcher is back after aDown; empty: none
  /// does.
  void SetCrashes(std::string aMarker, Duration aAfter, Duration aDown)
  {
    mCrashMarker = std::move(aMarker);
    mCrashAfter = aAfter;
    mDown = aDown;
  }
  /// Status of the failures of its own.
  void SetFailureStatus(int aStatus) { mFailureStatus = aStatus; }
  /// Drops all connections and runs, and stops to listen.
  void Crash();
  /// A new life under the same id, cold for so long.
  [[nodiscard]] bool StartAgain(Duration aCold);
  void Tell(const std::string& aState);
  void Leave();

  [[nodiscard]] const SearcherShape& Shape() const { return mShape; }
  [[nodiscard]] bool IsUp() const { return mListener != nullptr; }
  [[nodiscard]] bool IsCold() const;

private:
  using CallPointer = std::shared_ptr<HttpCall>;

  struct Job
  {
    CallPointer mCall;
    std::string mRequest;
    std::unique_ptr<Timer> mTimer;
    bool mRunning = false;
  };

  void Handle(const CallPointer& aCall);
  void Reject(const CallPointer& aCall, int aStatus);
  void StartWaiting();
  void Run(std::uint64_t aNumber);
  void Finish(std::uint64_t aNumber);
  [[nodiscard]] std::size_t Running() const;

  EventLoop& mLoop;
  Soak& mSoak;
  SearcherShape mShape;
  std::unique_ptr<HttpListener> mListener;
  std::map<std::uint64_t, Job> mJobs;
  /// Calls that get no answer; kept, so that their connections stay open.
  std::vector<CallPointer> mUnanswered;
  Choose mChoose;
  int mFailureStatus = 500;
  std::string mCrashMarker;
  Duration mCrashAfter{ 0 };
  Duration mDown{ 0 };
  std::uint64_t mNumber = 0;
  std::uint64_t mSequence = 0;
  UnixMilliseconds mBorn{ 0 };
  Instant mWarmAt;
};

} // namespace verbenachute::review
