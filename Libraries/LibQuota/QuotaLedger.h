#pragma once

#include <LibQuota/QuotaMessage.h>
#include <LibQuota/QuotaRule.h>
#include <LibQuota/TokenBucket.h>

#include <LibCore/Identifiers.h>

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace verbenachute {

/// What a node knows about the nodes that grant tokens.
struct QuotaView
{
  /// See QuotaOwners::VisibleFraction.
  double mVisibleFraction = 0;
  /// Whether no other node can have granted tokens in the last window.
  bool mIsStable = false;
};

/// Grants the tokens of the tenants for which this node is the owner or the
/// deputy. The limits of all nodes together stay within the rule while owners
/// fail, take over or are cut off from each other:
///
/// - an owner grants the fraction of the quota that corresponds to the nodes
///   that it sees;
/// - an owner that takes over starts with a part of the tolerated excess, since
///   it does not know what has been granted;
/// - a deputy grants a part of the tolerated excess.
class QuotaLedger
{
public:
  explicit QuotaLedger(const QuotaRule& aRule)
    : mRule(aRule)
  {
  }

  void SetRule(const QuotaRule& aRule) { mRule = aRule; }

  /// Answers a request of a node. A repeated request gets the same answer.
  [[nodiscard]] QuotaReply Answer(const SocketAddress& aNode,
                                  const QuotaRequest& aRequest,
                                  const Quota& aQuota,
                                  const QuotaView& aView,
                                  Instant aNow);
  /// Drops the state of tenants that have sent no requests lately.
  void OnTime(Instant aNow);
  /// Number of tenants with state.
  [[nodiscard]] std::size_t size() const { return mTenants.size(); }

private:
  using RequestKey = std::pair<SocketAddress, QuotaRequestNumber>;

  struct TenantState
  {
    std::optional<TokenBucket> mOwned;
    std::optional<TokenBucket> mReserve;
    Instant mLastRequest;
  };

  [[nodiscard]] QuotaReply Decide(const QuotaRequest& aRequest,
                                  const Quota& aQuota,
                                  const QuotaView& aView,
                                  Instant aNow);
  [[nodiscard]] TokenBucket& OwnedBucket(TenantState* aState,
                                         const Quota& aQuota,
                                         const QuotaView& aView,
                                         Instant aNow) const;
  [[nodiscard]] TokenBucket& ReserveBucket(TenantState* aState,
                                           const Quota& aQuota,
                                           const QuotaView& aView,
                                           Instant aNow) const;

  QuotaRule mRule;
  std::map<TenantName, TenantState> mTenants;
  /// Replies that are repeated if the request is, until they expire.
  std::map<RequestKey, QuotaReply> mReplies;
  std::deque<std::pair<Instant, RequestKey>> mReplyTimes;
};

} // namespace verbenachute
