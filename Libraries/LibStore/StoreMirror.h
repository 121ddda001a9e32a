#pragma once

#include <LibStore/StoreItem.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// A copy of the store's keys that only goes forward. It is fed by pages and
/// changes of the store and by copies of other nodes, in any order.
class StoreMirror
{
public:
  /// Keys that changed, with the values that hold now.
  using Changes = std::vector<StoreChange>;

  /// Takes over changes; those that are older than what is known are ignored.
  [[nodiscard]] Changes Apply(const StoreChanges& aChanges);
  /// Takes over a whole copy: keys that it lacks are gone, unless they were
  /// written after aAt.
  [[nodiscard]] Changes Replace(const std::vector<StoreItem>& aItems,
                                StoreRevision aAt);

  /// What has changed after a revision, as it holds now; nothing if removals
  /// since then are not remembered any more.
  [[nodiscard]] std::optional<StoreChanges> Since(StoreRevision aAfter) const;

  /// All changes up to this revision are known.
  [[nodiscard]] StoreRevision At() const { return mAt; }
  [[nodiscard]] std::vector<StoreItem> Items() const;
  [[nodiscard]] std::size_t size() const { return mItems.size(); }

private:
  void Put(const StoreItem& aItem, Changes* aChanges);

  void Remember(const StoreChange& aRemoval);

  /// Removals that are remembered.
  static constexpr std::size_t kMostRemovals = 1024;

  std::map<std::string, StoreItem> mItems;
  std::deque<StoreChange> mRemovals;
  /// Removals after this revision are remembered.
  StoreRevision mRememberedFrom;
  StoreRevision mAt;
};

} // namespace verbenachute
