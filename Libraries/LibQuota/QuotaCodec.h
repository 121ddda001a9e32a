#pragma once

#include <LibCore/Error.h>
#include <LibQuota/QuotaMessage.h>

#include <string>
#include <string_view>

namespace verbenachute {

[[nodiscard]] std::string
EncodeQuota(const QuotaMessage& aMessage);

/// Fails with InvalidInput at step Admission if the bytes are malformed.
[[nodiscard]] Result<QuotaMessage>
DecodeQuota(std::string_view aBytes);

} // namespace verbenachute
