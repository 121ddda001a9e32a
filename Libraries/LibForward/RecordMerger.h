#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace verbenachute {

/// Size of one record of a part, in bytes; a shorter remainder is ignored.
inline constexpr std::size_t kRecordBytes = 16;

/// Returns the aCount greatest records of all parts, compared byte by byte, in
/// descending order, concatenated. Fewer if the parts hold fewer. Equal records
/// are all kept.
[[nodiscard]] std::string
MergeTopRecords(const std::vector<std::string_view>& aParts,
                std::size_t aCount);

/// Records of several parts of which the least may have been left out.
struct SelectedRecords
{
  /// Records of each part, in descending order.
  std::vector<std::string> mParts;
  /// Only records below this one, or equal to it, are missing; empty if none
  /// is.
  std::string mFloor;
};

/// Selects the aCount greatest records of all parts that are not below aFloor,
/// and returns them by part. An empty floor excludes nothing.
[[nodiscard]] SelectedRecords
SelectTopRecords(const std::vector<std::string_view>& aParts,
                 std::size_t aCount,
                 std::string_view aFloor);

} // namespace verbenachute
