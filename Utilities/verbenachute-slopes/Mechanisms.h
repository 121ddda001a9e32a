#pragma once

#include "Measurement.h"

namespace verbenachute {

/// Packing and unpacking a sub-query and its answer of 20 hits, by the number
/// of messages in a batch.
[[nodiscard]] Measurement
MeasureCodec();

/// Merging the hits of one shard, by the number of shards of a query.
[[nodiscard]] Measurement
MeasureMerge();

/// Planning, sending and merging one sub-query in the query engine, by the
/// number of shards of a query.
[[nodiscard]] Measurement
MeasureEngine();

/// One sub-query through the dispatch gate, by the number of targets held.
[[nodiscard]] Measurement
MeasureGate();

/// One lease request at a voter, by the number of buckets in it.
[[nodiscard]] Measurement
MeasureLease();

/// One period of the member table, by the number of nodes known.
[[nodiscard]] Measurement
MeasureMembership();

/// Applying a revision that a node has fetched whole, by the number of
/// targets; the bytes are those of the encoded configuration.
[[nodiscard]] Measurement
MeasureConfiguration();

} // namespace verbenachute
