#include <LibForward/RecordFloorEstimator.h>

#include <LibForward/RecordMerger.h>

#include <algorithm>
#include <cmath>

namespace verbenachute {

namespace {

// Answers that are observed before the first estimate.
constexpr std::uint32_t kMinimumAnswers = 64;
// Each miss doubles the number of answers that are needed, up to this power.
constexpr std::uint32_t kMaximumDoublings = 8;
constexpr double kSampleWeight = 1.0 / 32;
// The distance of the floor, in standard deviations beyond the mean.
constexpr double kSafetyDeviations = 5;
// Leading bytes of a record that are compared as a number.
constexpr std::size_t kPrefixBytes = 8;
constexpr unsigned kBitsPerByte = 8;

double
DistanceFromGreatest(std::string_view aRecord)
{
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < kPrefixBytes; ++i) {
    value = value << kBitsPerByte | static_cast<unsigned char>(aRecord[i]);
  }
  return static_cast<double>(~value);
}

std::string
RecordAtDistance(double aDistance)
{
  const std::uint64_t value = ~static_cast<std::uint64_t>(aDistance);
  std::string record(kRecordBytes, '\0');
  for (std::size_t i = 0; i < kPrefixBytes; ++i) {
    const unsigned shift =
      kBitsPerByte * static_cast<unsigned>(kPrefixBytes - 1 - i);
    record[i] = static_cast<char>(value >> shift);
  }
  return record;
}

} // namespace

void
RecordFloorEstimator::Observe(std::string_view aRecords,
                              std::size_t aShards,
                              std::size_t aMaximumRecords)
{
  if (aMaximumRecords == 0 ||
      aRecords.size() != aMaximumRecords * kRecordBytes) {
    return;
  }
  const double distance = DistanceFromGreatest(
    aRecords.substr(aRecords.size() - kRecordBytes, kRecordBytes));
  if (aShards != mShards || aMaximumRecords != mMaximumRecords) {
    mShards = aShards;
    mMaximumRecords = aMaximumRecords;
    mAnswersNeeded = kMinimumAnswers;
    mMeanDistance = distance;
    mVariance = 0;
  }
  const double difference = distance - mMeanDistance;
  mMeanDistance += kSampleWeight * difference;
  mVariance =
    (1 - kSampleWeight) * (mVariance + kSampleWeight * difference * difference);
  mAnswersNeeded -= mAnswersNeeded > 0 ? 1 : 0;
}

void
RecordFloorEstimator::OnMiss()
{
  mMisses = std::min(mMisses + 1, kMaximumDoublings);
  mAnswersNeeded = kMinimumAnswers << mMisses;
}

std::string
RecordFloorEstimator::Estimate(std::size_t aShards,
                               std::size_t aMaximumRecords) const
{
  if (aShards != mShards || aMaximumRecords != mMaximumRecords ||
      mAnswersNeeded > 0) {
    return "";
  }
  const double distance =
    mMeanDistance + kSafetyDeviations * std::sqrt(mVariance);
  // Beyond this the conversion to an integer would overflow.
  const double greatestDistance = std::exp2(kBitsPerByte * kPrefixBytes - 1);
  return distance < greatestDistance ? RecordAtDistance(distance) : "";
}

} // namespace verbenachute
