#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace verbenachute {

/// A searcher that counts for itself what reaches it. It is cold after a crash
/// and bears more work as it answers.
class FakeTarget
{
public:
  /// Names work across all nodes and their lives.
  using Key = std::string;

  struct Run
  {
    NodeIdentity mHolder;
    bool mIsPoison = false;
  };

  TargetName mName;
  FailureDomain mDomain;
  std::uint32_t mSlots = 2;
  std::uint32_t mConnectionCap = 24;
  bool mIsDown = false;
  std::uint64_t mLife = 1;
  std::uint32_t mAnswered = 1000;
  std::map<Key, Run> mRunning;
  /// Connections of each life of a node, and the work that is on them.
  std::map<NodeIdentity, std::uint32_t> mConnections;
  std::map<NodeIdentity, std::set<Key>> mBusy;
  /// Lives whose idle connections broke and that have not noticed it yet.
  std::set<NodeIdentity> mStale;

  std::size_t mPeakRunning = 0;
  std::uint32_t mPeakConnections = 0;
  std::uint32_t mOverSlots = 0;
  std::uint32_t mOverCold = 0;
  std::uint32_t mCrashes = 0;

  /// Work that it bears at one time in its present warmth.
  [[nodiscard]] std::uint32_t Bears() const
  {
    std::uint32_t bears = 1;
    for (std::uint32_t needed = 4; needed <= mAnswered && bears < mSlots;
         needed += bears * 4) {
      bears *= 2;
    }
    return std::min(bears, mSlots);
  }
  void Open(const NodeIdentity& aNode, const Key& aKey)
  {
    mBusy[aNode].insert(aKey);
    const auto busy = static_cast<std::uint32_t>(mBusy[aNode].size());
    mConnections[aNode] = std::max(mConnections[aNode], busy);
    mPeakConnections = std::max(mPeakConnections, Connections());
  }
  void Close(const NodeIdentity& aNode, const Key& aKey)
  {
    mBusy[aNode].erase(aKey);
  }
  void CloseIdle(const NodeIdentity& aNode)
  {
    mConnections[aNode] = static_cast<std::uint32_t>(mBusy[aNode].size());
  }
  [[nodiscard]] std::uint32_t Connections() const
  {
    std::uint32_t count = 0;
    for (const auto& [node, connections] : mConnections) {
      count += connections;
    }
    return count;
  }
  void Start(const Key& aKey, const Run& aRun)
  {
    mRunning[aKey] = aRun;
    mPeakRunning = std::max(mPeakRunning, mRunning.size());
    mOverSlots += mRunning.size() > mSlots ? 1 : 0;
    mOverCold += mRunning.size() > Bears() ? 1 : 0;
  }
  void Crash()
  {
    ++mCrashes;
    ++mLife;
    mIsDown = true;
    mAnswered = 0;
    mRunning.clear();
    for (const auto& [node, connections] : mConnections) {
      mStale.insert(node);
    }
    mConnections.clear();
    mBusy.clear();
  }
};

} // namespace verbenachute
