#include <LibForward/RecordMerger.h>

#include <algorithm>
#include <functional>

namespace verbenachute {

std::string
MergeTopRecords(const std::vector<std::string_view>& aParts, std::size_t aCount)
{
  std::vector<std::string_view> records;
  for (const std::string_view part : aParts) {
    for (std::size_t offset = 0; offset + kRecordBytes <= part.size();
         offset += kRecordBytes) {
      records.push_back(part.substr(offset, kRecordBytes));
    }
  }
  const std::size_t count = std::min(aCount, records.size());
  // string_view compares its bytes as unsigned numbers.
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(count),
                    records.end(),
                    std::greater<>());
  std::string merged;
  merged.reserve(count * kRecordBytes);
  for (std::size_t i = 0; i < count; ++i) {
    merged.append(records[i]);
  }
  return merged;
}

} // namespace verbenachute
