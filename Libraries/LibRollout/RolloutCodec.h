#pragma once

#include <LibCore/Error.h>
#include <LibRollout/RolloutReport.h>

#include <string>
#include <string_view>

namespace verbenachute {

[[nodiscard]] std::string
EncodeRolloutReport(const RolloutReport& aReport);

/// Fails with InvalidInput at step Membership if the bytes are malformed.
[[nodiscard]] Result<RolloutReport>
DecodeRolloutReport(std::string_view aBytes);

} // namespace verbenachute
