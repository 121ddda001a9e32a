#pragma once

#include <LibCore/Time.h>
#include <LibLease/LeaseMember.h>
#include <LibLease/LeaseSettings.h>
#include <LibLease/RosterProposal.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace verbenachute {

/// Proposes the next roster of a region, one voter more or less at a time.
/// Each node runs one; the compare-and-swap in the store chooses among them.
///
/// A majority of a roster intersects each majority of the next one, but not of
/// the one after that. So the next change waits until a majority of the voters
/// have confirmed the present epoch, which leaves no majority to the one
/// before, and then until all leases of the one before have expired.
class RosterSteward
{
public:
  explicit RosterSteward(const LeaseSettings& aSettings);

  /// The roster as the store holds it; epoch 0 when there is none.
  void OnStoreRoster(const Roster& aRoster, Instant aNow);
  /// Live nodes of the region that are not leaving, and the names on the
  /// platform's list of VMs. A VM that is on neither has ended.
  void OnMembers(const std::vector<LeaseMember>& aLive,
                 const std::set<NodeName>& aListed,
                 Instant aNow);
  /// The epoch that a voter told in a reply.
  void OnVoterEpoch(const NodeName& aVoter, RosterEpoch aEpoch, Instant aNow);
  void OnOutcome(RosterOutcome aOutcome, Instant aNow);

  /// The change that is due, if any. At most one proposal is under way.
  [[nodiscard]] std::optional<RosterProposal> Consider(Instant aNow);

private:
  enum class Progress
  {
    /// The store's roster is not known, or not since the last conflict.
    Unread,
    Settled,
    Proposed,
  };

  [[nodiscard]] bool IsEnded(const NodeName& aVoter) const;
  [[nodiscard]] bool AllVotersEnded() const;
  [[nodiscard]] bool IsLive(const NodeName& aNode) const;
  void NoteConfirmation(Instant aNow);
  [[nodiscard]] std::optional<Roster> NextRoster(Instant aNow) const;
  [[nodiscard]] std::vector<NodeName> FirstVoters() const;
  [[nodiscard]] std::optional<NodeName> VoterToRemove(Instant aNow) const;
  [[nodiscard]] std::optional<NodeName> VoterToAdd(
    const std::vector<NodeName>& aVoters) const;
  [[nodiscard]] std::size_t VotersIn(
    const FailureDomain& aDomain,
    const std::vector<NodeName>& aVoters) const;

  LeaseSettings mSettings;
  Progress mProgress = Progress::Unread;
  Roster mRoster;
  std::vector<LeaseMember> mLive;
  std::set<NodeName> mListed;
  std::map<NodeName, Instant> mAbsentSince;
  std::set<NodeName> mConfirmed;
  /// When a majority had confirmed the present epoch.
  std::optional<Instant> mConfirmedAt;
};

} // namespace verbenachute
