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

// Reads `0.5"} 12`, the rest of a bucket's line after its prefix.
bool
ReadBar(absl::string_view aRest, HistogramBar* aBar)
{
  const std::vector<absl::string_view> parts =
    absl::StrSplit(aRest, absl::MaxSplits("\"} ", 1));
  return parts.size() == 2 &&
         absl::SimpleAtod(parts[0], &aBar->mBoundSeconds) &&
         absl::SimpleAtoi(parts[1], &aBar->mCount);
}

std::string
BoundText(const HistogramBar& aBar)
{
  if (std::isinf(aBar.mBoundSeconds)) {
    return "more";
  }
  return absl::StrFormat("%g ms", aBar.mBoundSeconds * 1000);
}

} // namespace

Result<std::vector<HistogramBar>>
ReadHistogram(const std::string& aExposition,
              const std::string& aMetric,
              const std::string& aLabel)
{
  const std::string prefix =
    absl::StrCat(aMetric, "_bucket{", aLabel, ",le=\"");
  std::vector<HistogramBar> bars;
  std::uint64_t below = 0;
  for (const absl::string_view line : absl::StrSplit(aExposition, '\n')) {
    if (!absl::StartsWith(line, prefix)) {
      continue;
    }
    HistogramBar bar;
    if (!ReadBar(line.substr(prefix.size()), &bar) || bar.mCount < below) {
      return HistogramError(ErrorCode::InvalidInput,
                            "the metrics hold a malformed histogram");
    }
    bar.mCount -= below;
    below += bar.mCount;
    bars.push_back(bar);
  }
  if (bars.empty()) {
    return HistogramError(ErrorCode::NotFound,
                          absl::StrCat("no histogram for ", aLabel));
  }
  return bars;
}

Result<std::vector<HistogramBar>>
AddHistograms(const std::vector<HistogramBar>& aFirst,
              const std::vector<HistogramBar>& aSecond)
{
  if (!std::ranges::equal(aFirst,
                          aSecond,
                          {},
                          &HistogramBar::mBoundSeconds,
                          &HistogramBar::mBoundSeconds)) {
    return HistogramError(ErrorCode::InvalidInput,
                          "the histograms have different bounds");
  }
  std::vector<HistogramBar> sum = aFirst;
  for (std::size_t i = 0; i < sum.size(); ++i) {
    sum[i].mCount += aSecond[i].mCount;
  }
  return sum;
}

std::string
DrawHistogram(const std::vector<HistogramBar>& aBars, std::size_t aWidth)
{
  std::uint64_t longest = 1;
  for (const HistogramBar& bar : aBars) {
    longest = std::max(longest, bar.mCount);
  }
  std::string drawing;
  for (const HistogramBar& bar : aBars) {
    // A bar that is not empty shows, however short it is.
    const std::size_t length = (bar.mCount * aWidth + longest - 1) / longest;
    absl::StrAppendFormat(&drawing,
                          "%10s %10d %s\n",
                          BoundText(bar),
                          bar.mCount,
                          std::string(length, '#'));
  }
  return drawing;
}

} // namespace verbenachute
