#pragma once

#include <LibQuota/QuotaGate.h>
#include <LibQuota/QuotaLedger.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace verbenachute {

/// Nodes that share the quota of one tenant over datagrams with delays and
/// losses, by a simulated clock.
class QuotaFleet
{
public:
  struct Counts
  {
    std::size_t mGranted = 0;
    std::size_t mDenied = 0;
    std::size_t mUnknown = 0;
  };

  QuotaFleet(std::size_t aNodes, const Quota& aQuota, std::uint64_t aSeed);

  /// Advances the clock while callers send requests at a rate, each to a random
  /// node that runs.
  void Run(Duration aTime, double aRequestsPerSecond);
  void SetQuota(const Quota& aQuota) { mQuota = aQuota; }
  void SetLossRate(double aRate) { mLossRate = aRate; }
  /// Nodes in different parts do not reach each other.
  void Split(const std::set<std::size_t>& aOnePart);
  void Kill(std::size_t aNode);
  /// Starts a killed node, which knows nothing of its earlier incarnation.
  void Start(std::size_t aNode);
  /// The node does not react for a time.
  void Stall(std::size_t aNode, Duration aTime);
  /// The node that owns the tenant at this moment.
  [[nodiscard]] std::size_t Owner() const;
  [[nodiscard]] std::size_t size() const { return mNodes.size(); }

  /// Outcomes since the last call.
  [[nodiscard]] Counts TakeCounts();
  /// Greatest number of tokens granted in any window of the rule.
  [[nodiscard]] std::size_t MaximumInWindow() const;

  static constexpr QuotaRule kRule{ seconds(5), 0.1, 20 };

private:
  struct Node
  {
    std::unique_ptr<QuotaOwners> mOwners;
    std::unique_ptr<QuotaLedger> mLedger;
    std::unique_ptr<QuotaGate> mGate;
    bool mIsRunning = true;
    std::uint64_t mIncarnation = 0;
    Instant mStalledUntil;
    /// When each other node was heard last.
    std::map<std::size_t, Instant> mHeard;
  };
  using Event = std::function<void()>;

  void Reset(std::size_t aNode);
  void Gossip();
  void Request();
  void Perform(std::size_t aNode, const QuotaActions& aActions);
  void Deliver(std::size_t aFrom, std::size_t aTo, Event aEvent);
  void After(Duration aDelay, Event aEvent);
  [[nodiscard]] bool Reaches(std::size_t aFrom, std::size_t aTo) const;
  [[nodiscard]] static NodeName NameOf(std::size_t aNode);

  std::vector<Node> mNodes;
  Quota mQuota;
  TenantName mTenant{ "tenant" };
  std::set<std::size_t> mOnePart;
  std::multimap<Instant, Event> mEvents;
  Instant mNow;
  double mLossRate = 0.01;
  std::mt19937_64 mRandom;
  std::vector<Instant> mGrants;
  Counts mCounts;
};

} // namespace verbenachute
