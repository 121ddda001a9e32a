#pragma once

#include <LibCore/StoreEra.h>
#include <LibCore/Strong.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// Sequence number of a change in the platform's store; larger is later.
using StoreRevision = Strong<struct StoreRevisionTag, std::uint64_t>;

/// A state of the store; larger is later.
struct StorePosition
{
  StoreEra mEra = StoreEra();
  StoreRevision mRevision = StoreRevision();

  friend bool operator==(const StorePosition&, const StorePosition&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): the rewritten 0 is no pointer.
  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

/// A key of the store with its value and the revision of its last change.
struct StoreItem
{
  std::string mKey;
  std::string mValue;
  StoreRevision mRevision;

  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

enum class ChangeCause
{
  Written,
  /// The restored store lacks the key, which nobody has removed.
  LostByRestore,
};

/// A change of one key. mValue is nullopt if the key was removed.
struct StoreChange
{
  std::string mKey;
  std::optional<std::string> mValue;
  StoreRevision mRevision;
  ChangeCause mCause = ChangeCause::Written;

  friend bool operator==(const StoreChange&, const StoreChange&) = default;
};

/// A page of the store's items, sorted by key.
struct StorePage
{
  std::vector<StoreItem> mItems;
  /// Whether items follow on another page.
  bool mHasMore = false;
  /// Revision of the store when the page was read.
  StoreRevision mStoreRevision;
  StoreEra mEra = StoreEra();

  [[nodiscard]] StorePosition Position() const
  {
    return { mEra, mStoreRevision };
  }
};

/// Changes since an earlier revision, up to mStoreRevision.
struct StoreChanges
{
  std::vector<StoreChange> mChanges;
  StoreRevision mStoreRevision;
  StoreEra mEra = StoreEra();

  [[nodiscard]] StorePosition Position() const
  {
    return { mEra, mStoreRevision };
  }
};

} // namespace verbenachute
