#pragma once

#include <LibLease/Bucket.h>
#include <LibLease/LeaseMember.h>

#include <vector>

namespace verbenachute {

/// The members in the order in which they should hold a bucket: those of its
/// own failure domain first, then the others, each by rendezvous weight.
[[nodiscard]] std::vector<NodeName>
RankHolders(const Bucket& aBucket, const std::vector<LeaseMember>& aMembers);

} // namespace verbenachute
