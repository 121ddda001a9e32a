#include <LibForward/RecordMerger.h>

#include <algorithm>
#include <functional>

namespace verbenachute {

std::string
MergeGreatest(const std::vector<std::string_view>& aParts,
              std::size_t aGreatest)
{
  std::vector<std::string_view> records;
  for (const std::string_view part : aParts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size();
         at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  const std::size_t kept = std::min(aGreatest, records.size());
  // string_view compares its bytes as unsigned numbers.
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(),
                    std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (std::size_t i = 0; i < kept; ++i) {
    merged.append(records[i]);
  }
  return merged;
}

} // namespace verbenachute
