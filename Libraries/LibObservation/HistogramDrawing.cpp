#include <LibObservation/HistogramDrawing.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <cmath>

namespace verbenachute {

namespace {

Error
HistogramError(ErrorCode aCode, std::string aMessage)
{
  return Error{ Step::Parse, aCode, "", std::move(aMessage) };
}

// Parses `0.5"} 12`, the part of a bucket's line after its prefix.
bool
ParseBucket(absl::string_view aText, HistogramBucket* aBucket)
{
  const std::vector<absl::string_view> parts =
    absl::StrSplit(aText, absl::MaxSplits("\"} ", 1));
  return parts.size() == 2 &&
         absl::SimpleAtod(parts[0], &aBucket->mBoundSeconds) &&
         absl::SimpleAtoi(parts[1], &aBucket->mCount);
}

std::string
BoundText(const HistogramBucket& aBucket)
{
  if (std::isinf(aBucket.mBoundSeconds)) {
    return "more";
  }
  return absl::StrFormat("%g ms", aBucket.mBoundSeconds * 1000);
}

} // namespace

Result<std::vector<HistogramBucket>>
ReadHistogram(const std::string& aExposition,
              const std::string& aMetric,
              const std::string& aLabel)
{
  const std::string prefix =
    absl::StrCat(aMetric, "_bucket{", aLabel, ",le=\"");
  std::vector<HistogramBucket> buckets;
  std::uint64_t cumulativeCount = 0;
  for (const absl::string_view line : absl::StrSplit(aExposition, '\n')) {
    if (!absl::StartsWith(line, prefix)) {
      continue;
    }
    HistogramBucket bucket;
    if (!ParseBucket(line.substr(prefix.size()), &bucket) ||
        bucket.mCount < cumulativeCount) {
      return HistogramError(ErrorCode::InvalidInput,
                            "the metrics hold a malformed histogram");
    }
    bucket.mCount -= cumulativeCount;
    cumulativeCount += bucket.mCount;
    buckets.push_back(bucket);
  }
  if (buckets.empty()) {
    return HistogramError(ErrorCode::NotFound,
                          absl::StrCat("no histogram for ", aLabel));
  }
  return buckets;
}

Result<std::vector<HistogramBucket>>
AddHistograms(const std::vector<HistogramBucket>& aFirst,
              const std::vector<HistogramBucket>& aSecond)
{
  if (!std::ranges::equal(aFirst,
                          aSecond,
                          {},
                          &HistogramBucket::mBoundSeconds,
                          &HistogramBucket::mBoundSeconds)) {
    return HistogramError(ErrorCode::InvalidInput,
                          "the histograms have different bounds");
  }
  std::vector<HistogramBucket> sum = aFirst;
  for (std::size_t i = 0; i < sum.size(); ++i) {
    sum[i].mCount += aSecond[i].mCount;
  }
  return sum;
}

std::string
DrawHistogram(const std::vector<HistogramBucket>& aBuckets, std::size_t aWidth)
{
  std::uint64_t largestCount = 1;
  for (const HistogramBucket& bucket : aBuckets) {
    largestCount = std::max(largestCount, bucket.mCount);
  }
  std::string drawing;
  for (const HistogramBucket& bucket : aBuckets) {
    // Rounded up, so that every bucket that is not empty is visible.
    const std::size_t length =
      (bucket.mCount * aWidth + largestCount - 1) / largestCount;
    absl::StrAppendFormat(&drawing,
                          "%10s %10d %s\n",
                          BoundText(bucket),
                          bucket.mCount,
                          std::string(length, '#'));
  }
  return drawing;
}

} // namespace verbenachute
