#pragma once

#include "ForwardRig.h"

#include <LibGossip/GossipTable.h>

#include <memory>
#include <random>
#include <set>
#include <vector>

namespace verbenachute {

/// Nodes that gossip and share the targets of one service, and a request that
/// crashes each target that runs it. The request comes again at any node.
class PoisonFleet
{
public:
  /// What a crashed target is when it is back.
  enum class Comeback
  {
    NewName,
    SameName,
  };

  PoisonFleet(std::size_t aNodes, std::size_t aTargets, Comeback aComeback);

  /// Kills the process of a node and starts it anew.
  void Restart(std::size_t aNode);
  /// Cuts a node from all other nodes.
  void Cut(std::size_t aNode);
  void Heal(std::size_t aNode);
  /// A caller sends the request that crashes targets.
  void Ask(std::size_t aNode);
  /// Asks at a random one of the nodes that callers use, in each interval.
  void AskAnywhere(Duration aFor, Duration aInterval);
  /// Adds observations of harmless requests that lost a connection.
  void LoseConnections(std::size_t aNode, std::size_t aRequests);
  void Pass(Duration aTime);

  [[nodiscard]] std::size_t Crashes() const { return mCrashes.size(); }
  /// Requests that reached a target later than kContact after the third crash,
  /// from nodes that had run and had not been cut off for that long.
  [[nodiscard]] std::size_t LateRetries() const { return mLateRetries.size(); }
  [[nodiscard]] ForwardRig& RigOf(std::size_t aNode)
  {
    return *mNodes[aNode].mRig;
  }

  /// Time after a disturbance of a node after which it must know what the
  /// others know.
  static constexpr Duration kContact = milliseconds(4000);
  /// More late retries than this break the users' rule.
  static constexpr std::size_t kAllowedLateRetries = 3;

  /// How long a target runs the request before it crashes.
  Duration mTimeToCrash = milliseconds(5);
  /// How the connection ends when the target crashes.
  AttemptFailure mCrashFailure = AttemptFailure::ConnectionLost;

private:
  struct Node
  {
    std::unique_ptr<ForwardRig> mRig;
    std::unique_ptr<GossipTable> mGossip;
    std::uint64_t mIncarnation = 100;
    Instant mInTouchFrom;
    bool mIsCut = false;
    std::uint64_t mRoundOffset = 0;
  };

  struct Target
  {
    ListedTarget mListed;
    Instant mUpFrom;
    bool mIsDown = false;
  };

  void Start(std::size_t aNode);
  void ListTargets(std::size_t aNode);
  void CrashTargets();
  void Crash(Target* aTarget);
  void BringTargetsBack();
  void Gossip();
  void Collect(std::size_t aNode);

  Comeback mComeback;
  std::vector<Node> mNodes;
  std::vector<Target> mTargets;
  std::uint64_t mNextTarget = 0;
  std::uint64_t mNextHarmless = 1;
  std::vector<Instant> mCrashes;
  std::set<std::pair<std::size_t, std::string>> mLateRetries;
  std::map<std::pair<std::size_t, AttemptId>, Instant> mArrivals;
  std::mt19937 mRandom{ 7 };
  Instant mNow{ seconds(1000) };
};

} // namespace verbenachute
