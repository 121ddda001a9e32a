#pragma once

#include <LibCore/Error.h>
#include <LibStore/StoreItem.h>

#include <string>
#include <string_view>
#include <variant>

namespace verbenachute {

/// An update of the store that one node sends to another: a complete copy, or
/// the changes since a revision that the other has requested.
using StoreUpdate = std::variant<StorePage, StoreChanges>;

/// Encodes an update as MessagePack, compressed with zlib, since configurations
/// are highly repetitive and each change of one is sent to every node.
[[nodiscard]] std::string
EncodeStoreUpdate(const StoreUpdate& aUpdate);

/// Fails with InvalidInput at step Store if the bytes are not an update that
/// EncodeStoreUpdate writes, or if it has more than 16 MiB uncompressed.
[[nodiscard]] Result<StoreUpdate>
DecodeStoreUpdate(std::string_view aBytes);

} // namespace verbenachute
