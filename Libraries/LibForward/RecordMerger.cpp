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

SelectedRecords
SelectTopRecords(const std::vector<std::string_view>& aParts,
                 std::size_t aCount,
                 std::string_view aFloor)
{
  std::vector<std::pair<std::string_view, std::size_t>> records;
  std::size_t total = 0;
  for (std::size_t part = 0; part < aParts.size(); ++part) {
    for (std::size_t offset = 0; offset + kRecordBytes <= aParts[part].size();
         offset += kRecordBytes) {
      const std::string_view record = aParts[part].substr(offset, kRecordBytes);
      ++total;
      if (record >= aFloor) {
        records.emplace_back(record, part);
      }
    }
  }
  std::sort(records.begin(), records.end(), std::greater<>());
  SelectedRecords selected;
  if (records.size() > aCount) {
    records.resize(aCount);
    selected.mFloor = aCount > 0 ? records.back().first : aFloor;
  } else if (records.size() < total) {
    selected.mFloor = aFloor;
  }
  selected.mParts.resize(aParts.size());
  for (const std::pair<std::string_view, std::size_t>& record : records) {
    selected.mParts[record.second].append(record.first);
  }
  return selected;
}

} // namespace verbenachute
