#pragma once

#include <LibStore/StoreItem.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// A copy of the store's items whose position never decreases. It accepts pages
/// and changes from the store and from other nodes in any order. Changes of
/// another era than its own are ignored; a complete copy of a later era
/// replaces everything.
class StoreMirror
{
public:
  /// Changed keys with their current values.
  using Changes = std::vector<StoreChange>;

  /// Applies changes and returns those that took effect; a change that is older
  /// than the known state of its key is ignored.
  [[nodiscard]] Changes Apply(const StoreChanges& aChanges);
  /// Replaces the contents by a complete copy as of a position and returns what
  /// changed. Keys that the copy lacks are removed, unless they were written
  /// after that position in the same era. A copy that is older than the mirror
  /// is ignored.
  [[nodiscard]] Changes Replace(const std::vector<StoreItem>& aItems,
                                StorePosition aPosition);
  [[nodiscard]] Changes Replace(const std::vector<StoreItem>& aItems,
                                StoreRevision aRevision)
  {
    return Replace(aItems, { mEra, aRevision });
  }

  /// The keys that changed after a revision of the mirror's era, with their
  /// current values; empty if the removals since then are no longer recorded.
  [[nodiscard]] std::optional<StoreChanges> ChangesSince(
    StoreRevision aAfter) const;

  /// The mirror contains all changes up to this revision.
  [[nodiscard]] StoreRevision CurrentRevision() const { return mStoreRevision; }
  [[nodiscard]] StorePosition Position() const
  {
    return { mEra, mStoreRevision };
  }
  [[nodiscard]] std::vector<StoreItem> Items() const;
  /// The item of a key; null if there is none.
  [[nodiscard]] const StoreItem* Find(const std::string& aKey) const;
  [[nodiscard]] std::size_t size() const { return mItems.size(); }

private:
  void Put(const StoreItem& aItem, Changes* aChanges);
  [[nodiscard]] Changes ReplaceEra(const std::vector<StoreItem>& aItems,
                                   StorePosition aPosition);

  void RecordRemoval(const StoreChange& aRemoval);

  /// Maximum number of recorded removals.
  static constexpr std::size_t kMaximumRemovals = 1024;

  std::map<std::string, StoreItem> mItems;
  std::deque<StoreChange> mRemovals;
  /// All removals after this revision are recorded.
  StoreRevision mRemovalsKnownSince;
  StoreEra mEra;
  StoreRevision mStoreRevision;
};

} // namespace verbenachute
