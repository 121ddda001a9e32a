#pragma once

#include <LibGossip/GossipTable.h>

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace verbenachute {

/// Nodes with clocked rounds that gossip over a network which delays and loses
/// datagrams. Nodes are killed, started again and paused; a paused node reads
/// what has waited when it continues.
class GossipSimulation
{
public:
  enum class Release
  {
    Current,
    /// Neither sends nor reads the age of a relayed status.
    WithoutAges,
  };

  struct Setup
  {
    std::size_t mNodes = 8;
    /// Direct nodes of each failure domain once the fleet is a large one.
    std::size_t mDirectNodes = 3;
    std::uint32_t mSeed = 1;
  };

  explicit GossipSimulation(const Setup& aSetup);

  void Kill(std::size_t aNode);
  /// Starts a process of a node that was killed.
  void Start(std::size_t aNode);
  void Restart(std::size_t aNode);
  void Pause(std::size_t aNode);
  void Continue(std::size_t aNode);
  /// Sends a status to the node's own domain out of turn.
  void Announce(std::size_t aNode);
  void SetRelease(std::size_t aNode, Release aRelease);
  void Pass(Duration aTime);

  [[nodiscard]] bool IsRunning(std::size_t aNode) const
  {
    return mNodes[aNode].mTable != nullptr;
  }
  [[nodiscard]] bool IsPaused(std::size_t aNode) const
  {
    return mNodes[aNode].mIsPaused;
  }
  [[nodiscard]] std::size_t size() const { return mNodes.size(); }
  /// Number of nodes that a node would name to callers.
  [[nodiscard]] std::size_t ServingCount(std::size_t aNode) const
  {
    return Serving(aNode).size();
  }
  /// Whether a node would name another to callers.
  [[nodiscard]] bool Names(std::size_t aNode, std::size_t aOther) const;
  /// Rounds in which a node in touch named another one that had ended longer
  /// than kNamedTime before, over all nodes of the current release.
  [[nodiscard]] const std::vector<std::string>& LateNames() const
  {
    return mLateNames;
  }

  /// Time after a disturbance of a node after which its answers count.
  static constexpr Duration kContact = milliseconds(5000);
  /// Time after its end in which a node may still be named.
  static constexpr Duration kNamedTime = kContact + seconds(3);

  /// Percentage of datagrams that are lost.
  unsigned mLossPercent = 0;
  /// Greatest time that a datagram is under way.
  Duration mMaximumDelay = milliseconds(30);

private:
  struct Node
  {
    std::unique_ptr<GossipTable> mTable;
    std::uint64_t mIncarnation = 100;
    Release mRelease = Release::Current;
    bool mIsPaused = false;
    std::vector<GossipMessage> mWaiting;
    /// Start of the node's own clock, which begins anew with each process.
    Instant mClockStart;
    Instant mNextRound;
    Instant mDisturbed;
    Instant mEnded;
  };

  struct Transfer
  {
    Instant mArrival;
    std::size_t mReceiver = 0;
    std::shared_ptr<const std::string> mBytes;

    friend bool operator<(const Transfer& aOne, const Transfer& aOther)
    {
      return aOne.mArrival > aOther.mArrival;
    }
  };

  [[nodiscard]] Instant ClockOf(std::size_t aNode) const
  {
    return Instant(mNow - mNodes[aNode].mClockStart);
  }
  [[nodiscard]] std::vector<NodeStatus> Serving(std::size_t aNode) const
  {
    return mNodes[aNode].mTable->ServingNodes(ClockOf(aNode));
  }
  void Send(std::size_t aNode,
            const std::vector<GossipTable::Datagram>& aDatagrams);
  void Deliver(const Transfer& aTransfer);
  void Read(std::size_t aNode, GossipMessage aMessage);
  void RunRound(std::size_t aNode);
  [[nodiscard]] GossipRole ChooseRole(std::size_t aNode) const;
  void CheckNames(std::size_t aNode);

  std::size_t mDirectNodes;
  std::vector<Node> mNodes;
  std::priority_queue<Transfer> mTransfers;
  std::map<SocketAddress, std::size_t> mAddresses;
  std::vector<std::string> mLateNames;
  std::mt19937 mRandom;
  Instant mNow{ seconds(1000) };
};

} // namespace verbenachute
