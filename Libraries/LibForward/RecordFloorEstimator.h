#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace verbenachute {

/// Learns from the answers of one route how great a record must be to belong to
/// an answer. A node that gathers shards for another one leaves out what is
/// below this floor. The answer is checked against it, so that a wrong estimate
/// costs a further attempt and never a record.
class RecordFloorEstimator
{
public:
  RecordFloorEstimator();

  /// aRecords is a complete answer of at most aMaximumRecords records, merged
  /// from aShards shards. An answer with fewer records is ignored.
  void Observe(std::string_view aRecords,
               std::size_t aShards,
               std::size_t aMaximumRecords);
  /// An answer contained a record below the floor: later floors are lower.
  void OnMiss();
  /// A record below which nothing is expected to belong to an answer; empty if
  /// too few answers of this shape were observed, or if they vary too much.
  [[nodiscard]] std::string Estimate(std::size_t aShards,
                                     std::size_t aMaximumRecords) const;

private:
  std::size_t mShards = 0;
  std::size_t mMaximumRecords = 0;
  /// Answers of this shape that were observed, up to the number that the
  /// averages cover.
  std::uint32_t mAnswers = 0;
  /// Distance of the floor from the mean, in standard deviations.
  double mMargin;
  /// Mean and variance of the distance of an answer's least record from the
  /// greatest possible one, by their leading bytes.
  double mMeanDistance = 0;
  double mVariance = 0;
};

} // namespace verbenachute
