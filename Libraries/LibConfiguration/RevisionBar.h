#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <deque>
#include <vector>

namespace verbenachute {

/// Works out below which revision no node of a region can dispatch. A voter's
/// grant tells the revision that it knows, and a holder that knows less does
/// not dispatch; so once every majority of voters has a member that knows a
/// revision, and the leases granted before that have lapsed, all smaller
/// revisions are out of use.
class RevisionBar
{
public:
  /// aLeaseLapse is the longest time that a grant counts for its holder.
  explicit RevisionBar(Duration aLeaseLapse);

  /// Takes the revisions that the voters have confirmed, 0 for one that has
  /// not been heard; aMajority of them make a grant.
  void OnVoters(std::vector<Revision> aVoters,
                std::size_t aMajority,
                Instant aNow);
  /// No node dispatches under a smaller revision than this one.
  [[nodiscard]] Revision BarredBelow() const { return mBarredBelow; }

private:
  struct Known
  {
    Revision mRevision;
    Instant mSince;
  };

  Duration mLeaseLapse;
  /// Revisions that every majority knows, ascending, with leases still out.
  std::deque<Known> mKnown;
  Revision mBarredBelow;
};

} // namespace verbenachute
