#pragma once

#include "EntrySearcher.h"

#include <LibHttp/HttpClientStream.h>

#include <json/value.h>

#include <cstdio>
#include <deque>
#include <list>
#include <set>

namespace verbenachute::review {

/// One request of a consumer, as its consumer and the searchers see it.
struct Request
{
  std::size_t mNode = 0;
  std::string mPath;
  /// Services whose searchers began to work on it, one entry a run.
  std::vector<std::string> mRuns;
  Instant mSent;
  /// 0: no answer yet, or the connection ended without one.
  int mStatus = 0;
  bool mEnded = false;
  HttpResponse mResponse;
};

/// What surrounds the nodes in a case: searchers, consumers and the operator.
/// All that they see is written to the record.
class Soak
{
public:
  struct Settings
  {
    std::string mRecord;
    SocketAddress mControl;
    /// Host of all searchers, and the port of the first of them.
    SocketAddress mFirstSearcher;
    /// Where consumers send requests, and where readiness is asked, by node.
    std::vector<SocketAddress> mNodes;
    std::vector<SocketAddress> mReady;
    /// False: the case runs without its disruption.
    bool mTrouble = true;
  };
  using Done = std::function<void(const std::string& aId, const Request&)>;

  Soak(EventLoop& aLoop, const Settings& aSettings);

  [[nodiscard]] bool HasTrouble() const { return mSettings.mTrouble; }
  [[nodiscard]] EventLoop& Loop() { return mLoop; }
  [[nodiscard]] const SocketAddress& NodeAddress(std::size_t aNode) const
  {
    return mSettings.mNodes[aNode];
  }
  [[nodiscard]] std::size_t Nodes() const { return mSettings.mNodes.size(); }
  [[nodiscard]] EntrySearcher& AddSearcher(const std::string& aId,
                                           const std::string& aService,
                                           const std::string& aZone);
  /// Writes to the store; aAcknowledged is called with its answer.
  void Put(const std::string& aKey,
           const std::string& aValue,
           std::function<void()> aAcknowledged = {});
  void Remove(const std::string& aKey);
  void Control(const std::string& aTarget);
  /// Calls aTask once each node has answered 200 to the readiness question.
  void WhenReady(const std::function<void()>& aTask);
  void After(Duration aDelay, std::function<void()> aTask);
  /// Sends a request to a node on a connection that is kept.
  std::string Send(std::size_t aNode,
                   const std::string& aMethod,
                   const std::string& aPath,
                   Duration aDeadline,
                   const std::string& aBody,
                   Done aDone);
  /// The same for a GET whose consumer leaves after a time.
  void SendAndLeave(std::size_t aNode,
                    const std::string& aPath,
                    Duration aDeadline,
                    Duration aLeaveAfter);
  void OnRun(const std::string& aRequest,
             const SearcherShape& aShape,
             const HttpCall& aCall);
  void OnArrival(const std::string& aRequest, EntrySearcher* aSearcher);
  using Arrived = std::function<void(const Request&, EntrySearcher*)>;
  /// Calls aArrived for each request that reaches a searcher.
  void SetArrived(Arrived aArrived) { mArrived = std::move(aArrived); }
  using Ran = std::function<void(const std::string& aId, const Request&)>;
  /// Calls aRan for each request that a searcher begins to work on.
  void SetRun(Ran aRan) { mRan = std::move(aRan); }
  void Record(const std::string& aText);
  /// A breach of the rule that the case is about.
  void Broken(const std::string& aText);
  /// The case could not run.
  void Fail(const std::string& aText);
  /// Ends the case.
  void End();

  [[nodiscard]] const std::map<std::string, Request>& Requests() const
  {
    return mRequests;
  }
  [[nodiscard]] std::size_t Breaches() const { return mBreaches; }
  [[nodiscard]] int ExitStatus() const;

  static constexpr const char* kHost = "dock.example";

private:
  struct Write
  {
    std::string mTarget;
    std::string mBody;
    std::function<void()> mAcknowledged;
  };

  void SendNextWrite();
  void AskReady(std::size_t aNode, std::function<void()> aTask);
  std::string SendFor(std::size_t aNode,
                      const std::string& aMethod,
                      const std::string& aPath,
                      Duration aDeadline,
                      Duration aPatience,
                      const std::string& aBody,
                      Done aDone);
  [[nodiscard]] std::shared_ptr<HttpClientStream> StreamTo(std::size_t aNode);

  EventLoop& mLoop;
  Settings mSettings;
  Instant mStart;
  std::FILE* mRecord = nullptr;
  std::vector<std::unique_ptr<EntrySearcher>> mSearchers;
  std::list<std::unique_ptr<Timer>> mTimers;
  std::map<std::string, Request> mRequests;
  std::map<std::size_t, std::vector<std::shared_ptr<HttpClientStream>>>
    mStreams;
  std::vector<std::unique_ptr<HttpClientStream>> mProbes;
  std::unique_ptr<HttpClientStream> mControl;
  std::deque<Write> mWrites;
  Arrived mArrived;
  Ran mRan;
  std::size_t mLastRequest = 0;
  std::size_t mReadyNodes = 0;
  std::size_t mBreaches = 0;
  bool mFailed = false;
};

/// A service of the configuration.
[[nodiscard]] Json::Value
BackendJson(const std::string& aName);
/// A route without its destination.
[[nodiscard]] Json::Value
RouteJson(const std::string& aName, const char* aKind, Duration aDeadline);
/// A configuration without routes and services.
[[nodiscard]] Json::Value
EmptyPlan(std::uint64_t aVersion);

} // namespace verbenachute::review
