#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibRouting/ServingPlan.h>
#include <LibStore/StoreItem.h>

#include <optional>

namespace verbenachute {

/// Decides how a node gets the newest plan that any node knows while the
/// restored store may have an older one. Idle in era 0.
class PlanCatchUp
{
public:
  struct Inputs
  {
    StoreEra mEra;
    /// Version of the plan in force; 0 if there is none.
    PlanVersion mInForce;
    /// Version of the store's plan if it is held back since none is in force.
    std::optional<PlanVersion> mHeld;
    /// Newest version that a node which is alive reports.
    PlanVersion mNewestOfPeers;
  };

  enum class Decision
  {
    Wait,
    /// Fetch the plan from a peer with the newest version; answer with
    /// OnFetchEnded.
    FetchFromPeer,
    /// Put the store's plan into force.
    ReleaseHeld,
  };

  /// Time in which a node that starts hears of its peers' plans: a round trip
  /// of gossip, whose rounds are 250 ms apart.
  static constexpr Duration kListenTime = milliseconds(600);
  /// Time after which a node that starts takes the store's plan in any case:
  /// its peers report a newer one, but none has delivered it.
  static constexpr Duration kHoldLimit = seconds(5);
  /// Time in which a new version usually reaches a node by the store.
  static constexpr Duration kPropagationTime = seconds(1);
  static constexpr Duration kFetchInterval = milliseconds(300);

  [[nodiscard]] Decision OnTime(const Inputs& aInputs, Instant aNow);
  void OnFetchEnded(Instant aNow);

private:
  [[nodiscard]] Decision OnBehind(const Inputs& aInputs, Instant aNow);

  std::optional<Instant> mHeldSince;
  std::optional<Instant> mBehindSince;
  bool mFetchPending = false;
  Instant mNextFetch;
};

} // namespace verbenachute
