#pragma once

#include "Promises.h"

#include <LibHttp/HttpClientStream.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/Timer.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace verbenachute::standins {

/// A node as callers reach it.
struct NodeFacts
{
  NodeName mName;
  SocketAddress mCaller;
  SocketAddress mDirectory;
};

/// Callers that ask the directory where to connect, keep the answer and their
/// connections, and send requests at a constant rate whatever the answers do.
class Callers
{
public:
  struct Settings
  {
    std::vector<NodeFacts> mNodes;
    std::string mHost;
    std::string mRegion;
    std::vector<std::string> mDomains;
    double mRate = 100;
    std::size_t mCallers = 12;
    std::uint64_t mSeed = 1;
    /// Share of requests that crash each searcher which runs them.
    double mCrashShare = 0;
  };

  Callers(EventLoop& aLoop, Promises& aPromises, const Settings& aSettings);
  ~Callers();

  void Start();
  void Stop();

private:
  struct Caller;

  void Arrive();
  void AskDirectory(const std::shared_ptr<Caller>& aCaller);
  void OnAddresses(const std::shared_ptr<Caller>& aCaller,
                   const StreamOutcome& aOutcome);
  void Send(const std::shared_ptr<Caller>& aCaller);
  /// One of the addresses that the caller was told, or to which it keeps a
  /// connection.
  [[nodiscard]] SocketAddress ChooseAddress(const Caller& aCaller);
  [[nodiscard]] std::shared_ptr<HttpClientStream> StreamTo(
    const std::shared_ptr<Caller>& aCaller,
    const SocketAddress& aAddress);
  [[nodiscard]] NodeName NodeAt(const SocketAddress& aAddress) const;

  EventLoop& mLoop;
  Promises& mPromises;
  Settings mSettings;
  std::minstd_rand mRandom;
  std::vector<std::shared_ptr<Caller>> mCallers;
  Timer mTimer;
  std::uint64_t mNumber = 0;
  bool mStopped = false;
};

} // namespace verbenachute::standins
