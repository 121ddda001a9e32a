#pragma once

#include <LibCore/Time.h>
#include <LibLease/LeaseReply.h>
#include <LibLease/Roster.h>

#include <map>
#include <set>

namespace verbenachute {

/// One round of requests of a holder and the votes that it brought. Each voter
/// counts once, however often its reply arrives.
class LeaseRound
{
public:
  LeaseRound(const Roster& aRoster, Instant aSent, std::set<Bucket> aAsked);

  /// Counts a reply to this round; one from outside its roster counts nothing.
  void Count(const LeaseReply& aReply);

  [[nodiscard]] Instant Sent() const { return mSent; }
  [[nodiscard]] const std::set<Bucket>& Asked() const { return mAsked; }
  [[nodiscard]] std::size_t Grants(const Bucket& aBucket) const;
  [[nodiscard]] bool HasMajority(const Bucket& aBucket) const;
  /// Nodes that a majority of the voters named as contenders for a bucket.
  [[nodiscard]] std::set<NodeName> Contenders(const Bucket& aBucket) const;

private:
  Roster mRoster;
  Instant mSent;
  std::set<Bucket> mAsked;
  std::map<Bucket, std::set<NodeName>> mGrants;
  std::map<Bucket, std::map<NodeName, std::set<NodeName>>> mContenders;
};

} // namespace verbenachute
