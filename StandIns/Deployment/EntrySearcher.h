#pragma once

#include "EndlessServer.h"
#include "Promises.h"
#include "StoreModel.h"

#include <LibHttp/HttpListener.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/Timer.h>

#include <map>
#include <memory>
#include <random>
#include <string>

namespace verbenachute::standins {

/// Shape of a searcher.
struct SearcherShape
{
  TargetFacts mFacts;
  SocketAddress mAddress;
  std::size_t mSlots = 2;
  std::size_t mQueue = 8;
  std::size_t mConnections = 24;
  /// Mean time of a request.
  Duration mService = milliseconds(8);
  /// Bytes of a response; 0: a few records.
  std::size_t mResponseBytes = 0;
};

/// One searcher of the users' platform at an address of its own. It tells of
/// itself in the store, runs requests in slots, and has the faults that it is
/// told to have.
class EntrySearcher
{
public:
  EntrySearcher(EventLoop& aLoop,
                StoreModel& aStore,
                Promises& aPromises,
                const SearcherShape& aShape,
                std::uint64_t aSeed);

  /// Listens and tells of itself; ends the process if it can not listen.
  void Start();
  /// Writes its entry as it told it last, or removes it if it did that last.
  void WriteEntryAgain();
  /// Drops all connections and runs; the entry goes from the store.
  void Crash();
  /// A new life after a crash, under a new name.
  void Restart();
  /// Drops all connections and runs; the entry stays.
  void CrashSilently();
  /// A new life under the same name, which is cold for a time.
  void RestartCold(Duration aCold);
  /// Requests are taken and not answered.
  void SetHung(bool aHung) { mHung = aHung; }
  void SetSlowness(double aFactor) { mSlowness = aFactor; }
  /// Share of requests that run and then fail with a status, while health
  /// checks are good.
  void SetFailing(double aShare, int aStatus)
  {
    mFailing = aShare;
    mFailureStatus = aStatus;
  }
  /// Whatever arrives is answered with bytes without end.
  void SetEndless(bool aEndless);
  /// Share of requests that run and whose answer is lost.
  void SetLosing(double aShare) { mLosing = aShare; }
  void Drain();

  [[nodiscard]] const SearcherShape& Shape() const { return mShape; }
  [[nodiscard]] bool IsUp() const { return mListener != nullptr; }
  [[nodiscard]] bool IsCold() const { return mLoop.Now() < mWarmAt; }

private:
  using CallPointer = std::shared_ptr<HttpCall>;

  struct Job
  {
    CallPointer mCall;
    RequestId mRequest;
    std::unique_ptr<Timer> mTimer;
    bool mRunning = false;
  };

  void Listen();
  void Handle(const CallPointer& aCall);
  void Reject(const CallPointer& aCall, int aStatus, const RequestId& aRequest);
  void StartWaiting();
  void Run(std::uint64_t aNumber);
  void Finish(std::uint64_t aNumber);
  void OnCallerDisconnected(std::uint64_t aNumber);
  void TellState(const char* aState);
  [[nodiscard]] std::size_t Running() const;
  [[nodiscard]] std::string Records();
  [[nodiscard]] HttpFields FieldsFor(const RequestId& aRequest) const;
  [[nodiscard]] double Share();

  EventLoop& mLoop;
  StoreModel& mStore;
  Promises& mPromises;
  SearcherShape mShape;
  std::string mFirstName;
  std::minstd_rand mRandom;
  std::unique_ptr<HttpListener> mListener;
  std::unique_ptr<EndlessServer> mEndless;
  UnixMilliseconds mBorn{ 0 };
  Instant mWarmAt;
  std::map<std::uint64_t, Job> mJobs;
  /// Calls that get no answer; kept, so that their connections stay open.
  std::vector<CallPointer> mUnanswered;
  std::uint64_t mNumber = 0;
  /// The state told last; empty if the entry was removed.
  std::string mToldState;
  unsigned mLives = 0;
  bool mHung = false;
  double mSlowness = 1;
  double mFailing = 0;
  int mFailureStatus = 500;
  double mLosing = 0;
};

} // namespace verbenachute::standins
