#pragma once

#include <LibPlatform/Platform.h>
#include <LibTransport/HttpMessage.h>

namespace verbenachute {

/// Reads the reply to a read or a watch: 404 and 204 give no value, any
/// other status than 200 is an Unavailable error.
[[nodiscard]] Result<std::optional<StoredValue>>
ParseStoredValue(const Result<HttpReply>& aReply);

/// Reads the reply to a compare-and-swap: 200 or 409, else Unavailable.
[[nodiscard]] Result<SwapOutcome>
ParseSwapOutcome(const Result<HttpReply>& aReply);

/// Reads the list of VMs; an entry that can not be read fails the whole.
[[nodiscard]] Result<std::vector<VmEntry>>
ParseVmList(const Result<HttpReply>& aReply);

} // namespace verbenachute
