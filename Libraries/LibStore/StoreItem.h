#pragma once

#include <LibCore/Strong.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// Number of a change in the platform's store; a larger number is later.
using StoreRevision = Strong<struct StoreRevisionTag, std::uint64_t>;

/// A key of the store with its value, as of its last change.
struct StoreItem
{
  std::string mKey;
  std::string mValue;
  StoreRevision mRevision;

  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

/// A change of one key. No value: the key was removed.
struct StoreChange
{
  std::string mKey;
  std::optional<std::string> mValue;
  StoreRevision mRevision;

  friend bool operator==(const StoreChange&, const StoreChange&) = default;
};

/// A page of the keys in order.
struct StorePage
{
  std::vector<StoreItem> mItems;
  bool mMore = false;
  StoreRevision mAt;
};

/// Changes since an earlier revision.
struct StoreChanges
{
  std::vector<StoreChange> mChanges;
  StoreRevision mAt;
};

} // namespace verbenachute
