#pragma once

#include "ForwardRig.h"

#include <LibGossip/GossipTable.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace verbenachute {

/// Nodes that gossip and share the targets of one service, and requests that
/// crash each target that runs them, one a tenant. They come again at any node.
/// Requests of other tenants for the same path are answered.
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
  void Ask(std::size_t aNode, const TenantName& aTenant = TenantName());
  /// A caller of another tenant sends the same request, which is answered.
  void AskHarmless(std::size_t aNode);
  /// Adds a harmless request at a random node in each interval from now on.
  void SetHarmlessInterval(Duration aInterval)
  {
    mHarmlessInterval = aInterval;
    mNextHarmless = mNow;
  }
  /// Asks at a random one of the nodes that callers use, in each interval.
  void AskAnywhere(Duration aFor, Duration aInterval);
  /// Adds observations of harmless requests that lost a connection.
  void LoseConnections(std::size_t aNode, std::size_t aRequests);
  void Pass(Duration aTime);

  /// Targets that the request of a tenant has crashed.
  [[nodiscard]] std::size_t Crashes(
    const TenantName& aTenant = TenantName()) const
  {
    return mDeadly.at(aTenant).mCrashes.size();
  }
  /// Requests of a tenant that reached a target later than kContact after the
  /// third crash, from nodes that had run and had not been cut off for that
  /// long.
  [[nodiscard]] std::size_t LateRetries(
    const TenantName& aTenant = TenantName()) const
  {
    return mDeadly.at(aTenant).mLateRetries.size();
  }
  /// Harmless requests that were answered by a target.
  [[nodiscard]] std::size_t HarmlessAnswered() const { return mAnswered; }
  /// Harmless requests that were refused as if they crashed targets.
  [[nodiscard]] std::size_t HarmlessRefused() const { return mRefused; }
  [[nodiscard]] bool IsCut(std::size_t aNode) const
  {
    return mNodes[aNode].mIsCut;
  }
  [[nodiscard]] ForwardRig& RigOf(std::size_t aNode)
  {
    return *mNodes[aNode].mRig;
  }

  /// Time after a disturbance of a node after which it must know what the
  /// others know.
  static constexpr Duration kContact = milliseconds(4000);
  /// More late retries than this break the users' rule.
  static constexpr std::size_t kAllowedLateRetries = 3;

  /// Percentage of gossip datagrams that are lost.
  unsigned mLossPercent = 0;
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

  struct DeadlyRequest
  {
    std::vector<Instant> mCrashes;
    std::set<std::pair<std::size_t, std::string>> mLateRetries;
  };

  void Start(std::size_t aNode);
  void ListTargets(std::size_t aNode);
  void EndAttempts();
  void Crash(Target* aTarget, const TenantName& aTenant);
  void BringTargetsBack();
  void Gossip();
  void Collect(std::size_t aNode);

  Comeback mComeback;
  std::vector<Node> mNodes;
  std::vector<Target> mTargets;
  std::uint64_t mNextTarget = 0;
  std::uint64_t mNextFingerprint = 1;
  std::map<TenantName, DeadlyRequest> mDeadly;
  std::optional<Duration> mHarmlessInterval;
  Instant mNextHarmless;
  std::size_t mAnswered = 0;
  std::size_t mRefused = 0;
  std::map<std::pair<std::size_t, AttemptId>, Instant> mArrivals;
  std::mt19937 mRandom{ 7 };
  Instant mNow{ seconds(1000) };
};

/// A fleet in which callers of each tenant sent a request that crashes targets,
/// and those of another tenant the same request without harm, while nodes were
/// restarted and cut off, datagrams and connections were lost and targets
/// crashed early or late, in an order drawn from the seed. The run is shorter
/// than a conviction.
[[nodiscard]] PoisonFleet
RunDrawnDisturbances(std::uint32_t aSeed,
                     const std::vector<TenantName>& aTenants);

} // namespace verbenachute
