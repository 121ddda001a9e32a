#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace verbenachute {

/// Bytes of one record of a part; a shorter remainder is no record.
inline constexpr std::size_t kRecordBytes = 16;

/// The aGreatest greatest records of the parts, compared byte by byte,
/// greatest first. Equal records all count.
[[nodiscard]] std::string
MergeGreatest(const std::vector<std::string_view>& aParts,
              std::size_t aGreatest);

} // namespace verbenachute
