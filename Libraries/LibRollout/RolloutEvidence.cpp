#include <LibRollout/RolloutEvidence.h>

#include <algorithm>
#include <cmath>

namespace verbenachute {

namespace {

// Responses of the new version that a verdict of Good needs, on each route and
// over all routes. A typical order allows about 30 in its canary phase.
constexpr std::uint64_t kMinimumOnRoute = 4;
constexpr std::uint64_t kMinimumOverAll = 12;
// Responses of the old version without which its latency is not known.
constexpr std::uint64_t kMinimumOld = 10;
// A response is slow from four times the old version's median: two octaves, in
// half-octave buckets.
constexpr std::size_t kSlowBuckets = 4;
// Prior of the old version's bad share, as responses without a bad one.
constexpr double kPriorResponses = 20;
constexpr double kPriorBad = 0.1;

/// How many bad responses above the expected number are tolerated.
struct Tolerance
{
  double mDeviations = 0;
  double mConstant = 0;
};

constexpr Tolerance kClearlyWorse{ 2.5, 1.5 };
// Two bad responses by chance are tolerated even if the old version has few. A
// version with 10% bad ones is recognized after the switch.
constexpr Tolerance kNoWorse{ 1.5, 1.5 };

struct Sample
{
  double mResponses = 0;
  double mBad = 0;
};

Sample
SampleOf(const VersionCounts& aCounts, std::size_t aSlowFrom)
{
  const double slow = static_cast<double>(aCounts.mLatencies.From(aSlowFrom));
  return Sample{ static_cast<double>(aCounts.mResponses),
                 static_cast<double>(aCounts.mFailed) + slow };
}

bool
Exceeds(const Sample& aNew, const Sample& aOld, const Tolerance& aTolerance)
{
  const double share = std::min(
    1.0, (aOld.mBad + kPriorBad) / (aOld.mResponses + kPriorResponses));
  const double expected = aNew.mResponses * share;
  return aNew.mBad > expected + aTolerance.mDeviations * std::sqrt(expected) +
                       aTolerance.mConstant;
}

void
Add(Sample* aSum, const Sample& aSample)
{
  aSum->mResponses += aSample.mResponses;
  aSum->mBad += aSample.mBad;
}

} // namespace

RolloutVerdict
JudgeRollout(const RolloutCounts& aCounts)
{
  Sample allOld;
  Sample allNew;
  std::uint64_t responses = 0;
  bool isGood = true;
  for (const auto& [route, versions] : aCounts.mRoutes) {
    const VersionCounts& oldCounts =
      versions[static_cast<std::size_t>(RolloutVersion::Old)];
    const VersionCounts& newCounts =
      versions[static_cast<std::size_t>(RolloutVersion::New)];
    const bool isLatencyKnown = oldCounts.mLatencies.Total() >= kMinimumOld;
    const std::size_t slowFrom =
      isLatencyKnown ? oldCounts.mLatencies.MedianBucket() + kSlowBuckets
                     : LatencyHistogram::kBuckets;
    const Sample oldSample = SampleOf(oldCounts, slowFrom);
    const Sample newSample = SampleOf(newCounts, slowFrom);
    if (Exceeds(newSample, oldSample, kClearlyWorse)) {
      return RolloutVerdict::Bad;
    }
    isGood = isGood && isLatencyKnown &&
             newCounts.mResponses >= kMinimumOnRoute &&
             !Exceeds(newSample, oldSample, kNoWorse);
    Add(&allOld, oldSample);
    Add(&allNew, newSample);
    responses += newCounts.mResponses;
  }
  if (Exceeds(allNew, allOld, kClearlyWorse)) {
    return RolloutVerdict::Bad;
  }
  isGood = isGood && responses >= kMinimumOverAll &&
           !Exceeds(allNew, allOld, kNoWorse);
  return isGood ? RolloutVerdict::Good : RolloutVerdict::NotEnough;
}

} // namespace verbenachute
