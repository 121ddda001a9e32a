#pragma once

#include <LibCore/Time.h>
#include <LibLease/LeaseRelease.h>
#include <LibLease/LeaseReply.h>
#include <LibLease/LeaseRequest.h>
#include <LibLease/LeaseSettings.h>
#include <LibLease/Roster.h>

#include <map>
#include <optional>

namespace verbenachute {

/// Grants leases on buckets to one holder each. It keeps nothing over a
/// restart; a new life grants nothing until all grants of its earlier lives
/// have expired.
class LeaseVoter
{
public:
  LeaseVoter(NodeIdentity aSelf, const LeaseSettings& aSettings, Instant aNow);

  /// Takes a roster that was read from the platform's store.
  void OnStoreRoster(const Roster& aRoster);
  /// Takes a roster that another node knows. Until the store has been read
  /// once, it counts when a majority of its voters have told the same one
  /// within the time that a voter keeps a grant.
  void OnPeerRoster(const NodeName& aPeer, const Roster& aRoster, Instant aNow);
  /// Takes note that a revision of configuration has been accepted.
  void OnRevision(Revision aRevision);

  [[nodiscard]] LeaseReply OnRequest(const LeaseRequest& aRequest,
                                     Instant aNow);
  void OnRelease(const LeaseRelease& aRelease, Instant aNow);

  /// Drops what has expired. To be called several times within the time that
  /// counts as a pause; a longer gap means that this node was paused.
  void OnTimer(Instant aNow);

  /// The roster under which it votes, if it has one.
  [[nodiscard]] const std::optional<Roster>& CurrentRoster() const
  {
    return mRoster;
  }

private:
  struct Grant
  {
    NodeIdentity mHolder;
    std::uint64_t mRound = 0;
    Instant mExpiry;
  };
  struct Contender
  {
    NodeIdentity mNode;
    Instant mExpiry;
  };
  struct Asker
  {
    /// Requests of earlier rounds are late and count for nothing.
    std::uint64_t mOldestRound = 0;
    Instant mLastSeen;
  };
  struct ToldRoster
  {
    Roster mRoster;
    Instant mTold;
  };

  [[nodiscard]] bool MayGrant(const LeaseRequest& aRequest, Instant aNow) const;
  [[nodiscard]] bool IsStale(const NodeIdentity& aHolder,
                             std::uint64_t aRound) const;
  void GrantOrRefuse(const LeaseRequest& aRequest,
                     const Bucket& aBucket,
                     Instant aNow,
                     LeaseReply* aReply);
  void AddContender(const Bucket& aBucket,
                    const NodeIdentity& aHolder,
                    Instant aNow,
                    LeaseReply* aReply);
  void Remember(const NodeIdentity& aHolder,
                std::uint64_t aOldestRound,
                Instant aNow);
  void AdoptToldRoster();
  void Adopt(const Roster& aRoster);

  NodeIdentity mSelf;
  LeaseSettings mSettings;
  /// No grant before this.
  Instant mSettled;
  Instant mLastEvent;
  Revision mRevision;
  std::optional<Roster> mRoster;
  std::map<NodeName, ToldRoster> mToldRosters;
  std::map<Bucket, Grant> mGrants;
  std::map<Bucket, Contender> mContenders;
  std::map<NodeIdentity, Asker> mAskers;
};

} // namespace verbenachute
