#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <deque>
#include <vector>

namespace verbenachute {

/// Determines the smallest revision under which a node of a region can still
/// dispatch. A grant states the revision that the voter knows, and a holder
/// that knows a smaller one does not dispatch. Once every majority of voters
/// has a member that knows a revision, and the leases granted before have
/// lapsed, all smaller revisions are out of use.
class MinimumRevision
{
public:
  /// aLeaseLapse is the maximum duration of a grant.
  explicit MinimumRevision(Duration aLeaseLapse);

  /// Sets the revisions that the voters have confirmed, 0 for a voter that has
  /// not responded. aMajority of them are needed for a grant.
  void OnVoters(std::vector<Revision> aVoters,
                std::size_t aMajority,
                Instant aNow);
  /// No node dispatches under a smaller revision than this one.
  [[nodiscard]] Revision Current() const { return mMinimumRevision; }

private:
  struct Known
  {
    Revision mRevision;
    Instant mSince;
  };

  Duration mLeaseLapse;
  /// Revisions that every majority knows, ascending, while earlier leases may
  /// still be valid.
  std::deque<Known> mKnown;
  Revision mMinimumRevision;
};

} // namespace verbenachute
