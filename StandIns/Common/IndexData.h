#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/SubAnswer.h>

#include <string>
#include <vector>

namespace verbenachute::standins {

/// The hits of one shard for a query, ordered by falling score and then by
/// identifier, cut to the limit. They follow from the arguments alone, so that
/// the load tool can tell a wrong answer. The text names the service, version,
/// shard and query from which the hit is.
[[nodiscard]] std::vector<Hit>
HitsOfShard(const ServiceName& aService,
            IndexVersion aVersion,
            ShardId aShard,
            const std::string& aQuery,
            std::size_t aLimit);

/// Orders hits by falling score and then by identifier, and cuts to the limit.
void
SortAndCut(std::vector<Hit>& aHits, std::size_t aLimit);

} // namespace verbenachute::standins
