#pragma once

#include <LibCore/Error.h>
#include <LibStore/StoreItem.h>

#include <string>
#include <string_view>
#include <variant>

namespace verbenachute {

/// What one node tells another of the store: a whole copy, or what has changed
/// since a revision that the other has named.
using StoreNews = std::variant<StorePage, StoreChanges>;

/// MessagePack, compressed with zlib: configurations repeat themselves a lot,
/// and each change of one goes to every node.
[[nodiscard]] std::string
EncodeStoreNews(const StoreNews& aNews);

/// Bytes that EncodeStoreNews did not write, and news of more than 16 MiB, are
/// InvalidInput at step Store.
[[nodiscard]] Result<StoreNews>
DecodeStoreNews(std::string_view aBytes);

} // namespace verbenachute
