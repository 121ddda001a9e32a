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

} // namespace verbenachute
