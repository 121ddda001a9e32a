#include <LibOperator/MetricsText.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <optional>
#include <sstream>

namespace verbenachute {

namespace {

constexpr std::string_view kBucket =
  "verbenachute_class_latency_seconds_bucket{";
constexpr int kBarCharacters = 50;
constexpr double kMillisecondsASecond = 1'000;

/// Value of a label in the braces of a metric's line.
std::optional<std::string>
LabelOf(std::string_view aLine, std::string_view aName)
{
  const std::string start = std::string(aName) + "=\"";
  const std::size_t found = aLine.find(start);
  if (found == std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t from = found + start.size();
  const std::size_t to = aLine.find('"', from);
  return to == std::string_view::npos
           ? std::nullopt
           : std::optional(std::string(aLine.substr(from, to - from)));
}

/// Adds the counts of one node, which are cumulative by upper bound.
void
AddCounts(const std::string& aMetrics,
          const std::string& aClass,
          std::map<double, std::uint64_t>* aCounts)
{
  std::istringstream lines(aMetrics);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t space = line.rfind(' ');
    if (!line.starts_with(kBucket) || LabelOf(line, "class") != aClass ||
        space == std::string::npos) {
      continue;
    }
    const std::optional<std::string> bound = LabelOf(line, "le");
    if (bound) {
      (*aCounts)[std::strtod(bound->c_str(), nullptr)] +=
        std::strtoull(line.c_str() + space, nullptr, 10);
    }
  }
}

std::string
BarLine(double aBound, std::uint64_t aCount, std::uint64_t aLargest)
{
  char text[64];
  std::snprintf(text,
                sizeof(text),
                "%10.3f ms %10llu ",
                aBound * kMillisecondsASecond,
                static_cast<unsigned long long>(aCount));
  const std::uint64_t length = aCount * kBarCharacters / aLargest;
  return text + std::string(length, '#') + "\n";
}

} // namespace

Result<std::string>
HistogramText(const std::vector<std::string>& aMetrics,
              const std::string& aClass)
{
  std::map<double, std::uint64_t> cumulative;
  for (const std::string& metrics : aMetrics) {
    AddCounts(metrics, aClass, &cumulative);
  }
  std::map<double, std::uint64_t> counts;
  std::uint64_t below = 0;
  std::uint64_t largest = 0;
  for (const auto& [bound, count] : cumulative) {
    if (count > below) {
      counts[bound] = count - below;
      largest = std::max(largest, count - below);
    }
    below = std::max(below, count);
  }
  if (counts.empty()) {
    return Error{ Step::Parse,
                  ErrorCode::NotFound,
                  "",
                  "no queries of class '" + aClass + "' have been answered" };
  }
  std::string text =
    "class " + aClass + ", " + std::to_string(below) + " queries, up to\n";
  for (const auto& [bound, count] : counts) {
    text += BarLine(bound, count, largest);
  }
  return text;
}

} // namespace verbenachute
