#include <LibForward/RecordFloorEstimator.h>

#include <LibForward/RecordMerger.h>

#include <algorithm>
#include <cmath>

namespace verbenachute {

namespace {

// Answers that are observed before the first estimate.
constexpr std::uint32_t kMinimumAnswers = 4;
// Number of answers that the averages cover.
constexpr std::uint32_t kAveragedAnswers = 32;
// Each miss widens the margin by this factor, and answers without one narrow it
// again so slowly that about one answer in kAnswersPerMiss misses, however the
// records are distributed.
constexpr double kMissFactor = 1.25;
constexpr double kAnswersPerMiss = 1000;
// In standard deviations.
constexpr double kInitialMargin = 5;
constexpr double kMinimumMargin = 3;
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

RecordFloorEstimator::RecordFloorEstimator()
  : mMargin(kInitialMargin)
{
}

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
    mAnswers = 0;
    mMeanDistance = distance;
    // The variance if the records are independent of each other, until enough
    // answers show the real one.
    mVariance = distance * distance / static_cast<double>(aMaximumRecords);
  }
  mAnswers = std::min(mAnswers + 1, kAveragedAnswers);
  const double difference = distance - mMeanDistance;
  mMeanDistance += difference / mAnswers;
  const double weight = 1.0 / kAveragedAnswers;
  mVariance = (1 - weight) * (mVariance + weight * difference * difference);
  mMargin = std::max(kMinimumMargin,
                     mMargin / std::pow(kMissFactor, 1 / kAnswersPerMiss));
}

void
RecordFloorEstimator::OnMiss()
{
  mMargin *= kMissFactor;
}

std::string
RecordFloorEstimator::Estimate(std::size_t aShards,
                               std::size_t aMaximumRecords) const
{
  if (aShards != mShards || aMaximumRecords != mMaximumRecords ||
      mAnswers < kMinimumAnswers) {
    return "";
  }
  // The mean of few answers is uncertain itself.
  const double deviation = std::sqrt(mVariance * (1 + 1.0 / mAnswers));
  const double distance = mMeanDistance + mMargin * deviation;
  // Beyond this the conversion to an integer would overflow.
  const double greatestDistance = std::exp2(kBitsPerByte * kPrefixBytes - 1);
  return distance < greatestDistance ? RecordAtDistance(distance) : "";
}

} // namespace verbenachute
