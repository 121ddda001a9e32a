#pragma once

#include <LibLease/LeaseAction.h>
#include <LibLease/LeaseAuthority.h>
#include <LibLease/LeaseMember.h>
#include <LibLease/LeaseReply.h>
#include <LibLease/LeaseRound.h>
#include <LibLease/LeaseSettings.h>
#include <LibLease/Roster.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace verbenachute {

/// Gains, renews, hands over and loses the leases of one life of a node. It
/// counts a lease from the moment of the request, so that no delay of a reply
/// can make it last longer than at the voters.
class LeaseHolder final : public LeaseAuthority
{
public:
  LeaseHolder(NodeIdentity aSelf, const LeaseSettings& aSettings);

  /// The failure domains of the region, whose buckets are to be held.
  LeaseActions OnDomains(const std::vector<FailureDomain>& aDomains,
                         Instant aNow);
  /// The live nodes of the region that are not leaving, as this node knows
  /// them. Without itself among them it asks for no further buckets.
  LeaseActions OnMembers(const std::vector<LeaseMember>& aMembers,
                         Instant aNow);
  LeaseActions OnRoster(const Roster& aRoster, Instant aNow);
  /// The revision of configuration that this node has in force.
  void OnRevision(Revision aRevision);
  LeaseActions OnReply(const LeaseReply& aReply, Instant aNow);
  /// No work is left at the targets of a bucket that is being handed over.
  LeaseActions OnDrained(const Bucket& aBucket, Instant aNow);
  LeaseActions OnTimer(Instant aNow);

  /// Whether the lease is in force, also while it is being handed over.
  [[nodiscard]] bool Holds(const Bucket& aBucket, Instant aNow) const;
  [[nodiscard]] bool MayDispatch(const Bucket& aBucket,
                                 Instant aNow) const override;
  [[nodiscard]] Revision RequiredRevision() const override
  {
    return mRequiredRevision;
  }
  [[nodiscard]] std::vector<Bucket> HeldBuckets(Instant aNow) const;
  /// Who held a bucket when voters last refused it to this node.
  [[nodiscard]] std::optional<NodeIdentity> ToldHolder(
    const Bucket& aBucket) const;

private:
  enum class Phase
  {
    Wanting,
    Held,
    HandingOver,
  };
  struct Tenure
  {
    Phase mPhase = Phase::Wanting;
    Instant mValidUntil;
    /// When the last work that the lease allowed has ended at the targets.
    Instant mWorkEnd;
    /// Replies to rounds up to this one count no more.
    std::uint64_t mIgnoredThrough = 0;
    /// Not asked for again before this round.
    std::uint64_t mResumeAt = 0;
    std::optional<NodeIdentity> mToldHolder;
    std::vector<NodeName> mRanking;
  };

  [[nodiscard]] std::size_t RankOf(const Tenure& aTenure,
                                   const NodeName& aNode) const;
  [[nodiscard]] bool IsAskedFor(const Tenure& aTenure) const;
  void Rank();
  void Expire(Instant aNow, LeaseActions* aActions);
  void StartRound(Instant aNow, LeaseActions* aActions);
  void GiveUpMinorities(Instant aNow, LeaseActions* aActions);
  void ForgetOldRounds(Instant aNow);
  void ApplyRound(std::uint64_t aNumber, Instant aNow, LeaseActions* aActions);
  void Extend(const Bucket& aBucket,
              std::uint64_t aNumber,
              Instant aNow,
              LeaseActions* aActions);
  void ConsiderHandOver(const Bucket& aBucket,
                        const std::set<NodeName>& aContenders,
                        LeaseActions* aActions);
  void Release(const std::vector<Bucket>& aBuckets,
               std::uint64_t aRound,
               LeaseActions* aActions) const;

  NodeIdentity mSelf;
  LeaseSettings mSettings;
  Roster mRoster;
  Revision mRevision;
  Revision mRequiredRevision;
  std::vector<LeaseMember> mMembers;
  std::map<Bucket, Tenure> mTenures;
  std::map<NodeName, Incarnation> mVoterLives;
  std::map<std::uint64_t, LeaseRound> mRounds;
  std::uint64_t mRoundNumber = 0;
  Instant mNextRound;
};

} // namespace verbenachute
