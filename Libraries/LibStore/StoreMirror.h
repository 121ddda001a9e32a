#pragma once

#include <LibStore/StoreItem.h>

#include <map>
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

  /// All changes up to this revision are known.
  [[nodiscard]] StoreRevision At() const { return mAt; }
  [[nodiscard]] std::vector<StoreItem> Items() const;
  [[nodiscard]] std::size_t size() const { return mItems.size(); }

private:
  void Put(const StoreItem& aItem, Changes* aChanges);

  std::map<std::string, StoreItem> mItems;
  StoreRevision mAt;
};

} // namespace verbenachute
