#include <LibStore/StoreMirror.h>

#include <algorithm>
#include <set>
#include <utility>

namespace verbenachute {

void
StoreMirror::Put(const StoreItem& aItem, Changes* aChanges)
{
  const auto found = mItems.find(aItem.mKey);
  if (found != mItems.end() && found->second.mRevision >= aItem.mRevision) {
    return;
  }
  mItems[aItem.mKey] = aItem;
  aChanges->push_back(StoreChange{ aItem.mKey, aItem.mValue, aItem.mRevision });
}

StoreMirror::Changes
StoreMirror::Apply(const StoreChanges& aChanges)
{
  Changes changes;
  if (aChanges.mEra != mEra) {
    return changes;
  }
  for (const StoreChange& change : aChanges.mChanges) {
    if (change.mValue.has_value()) {
      Put(StoreItem{ change.mKey, *change.mValue, change.mRevision }, &changes);
      continue;
    }
    const auto found = mItems.find(change.mKey);
    if (found != mItems.end() && found->second.mRevision < change.mRevision) {
      mItems.erase(found);
      changes.push_back(change);
      RecordRemoval(change);
    }
  }
  mStoreRevision = std::max(mStoreRevision, aChanges.mStoreRevision);
  return changes;
}

StoreMirror::Changes
StoreMirror::Replace(const std::vector<StoreItem>& aItems,
                     StorePosition aPosition)
{
  if (aPosition.mEra > mEra) {
    return ReplaceEra(aItems, aPosition);
  }
  Changes changes;
  if (aPosition < Position()) {
    return changes;
  }
  const StoreRevision revision = aPosition.mRevision;
  std::set<std::string> present;
  for (const StoreItem& item : aItems) {
    present.insert(item.mKey);
    Put(item, &changes);
  }
  for (auto item = mItems.begin(); item != mItems.end();) {
    if (present.contains(item->first) || item->second.mRevision > revision) {
      ++item;
      continue;
    }
    changes.push_back(StoreChange{ item->first, std::nullopt, revision });
    RecordRemoval(changes.back());
    item = mItems.erase(item);
  }
  if (mStoreRevision == StoreRevision()) {
    mRemovalsKnownSince = revision;
  }
  mStoreRevision = revision;
  return changes;
}

StoreMirror::Changes
StoreMirror::ReplaceEra(const std::vector<StoreItem>& aItems,
                        StorePosition aPosition)
{
  Changes changes;
  std::map<std::string, StoreItem> before = std::exchange(mItems, {});
  for (const StoreItem& item : aItems) {
    // Compared by value, since the store hands out revisions again.
    const auto known = before.find(item.mKey);
    if (known == before.end() || known->second.mValue != item.mValue) {
      changes.push_back(StoreChange{ item.mKey, item.mValue, item.mRevision });
    }
    if (known != before.end()) {
      before.erase(known);
    }
    mItems[item.mKey] = item;
  }
  for (const auto& lost : before) {
    changes.push_back(StoreChange{ lost.first,
                                   std::nullopt,
                                   aPosition.mRevision,
                                   ChangeCause::LostByRestore });
  }
  mRemovals.clear();
  mRemovalsKnownSince = aPosition.mRevision;
  mEra = aPosition.mEra;
  mStoreRevision = aPosition.mRevision;
  return changes;
}

void
StoreMirror::RecordRemoval(const StoreChange& aRemoval)
{
  mRemovals.push_back(aRemoval);
  if (mRemovals.size() > kMaximumRemovals) {
    mRemovalsKnownSince =
      std::max(mRemovalsKnownSince, mRemovals.front().mRevision);
    mRemovals.pop_front();
  }
}

std::optional<StoreChanges>
StoreMirror::ChangesSince(StoreRevision aAfter) const
{
  if (aAfter < mRemovalsKnownSince) {
    return std::nullopt;
  }
  StoreChanges changes;
  changes.mStoreRevision = mStoreRevision;
  changes.mEra = mEra;
  for (const StoreChange& removal : mRemovals) {
    if (removal.mRevision > aAfter) {
      changes.mChanges.push_back(removal);
    }
  }
  for (const auto& entry : mItems) {
    const StoreItem& item = entry.second;
    if (item.mRevision > aAfter) {
      changes.mChanges.push_back(
        StoreChange{ item.mKey, item.mValue, item.mRevision });
    }
  }
  return changes;
}

const StoreItem*
StoreMirror::Find(const std::string& aKey) const
{
  const auto found = mItems.find(aKey);
  return found == mItems.end() ? nullptr : &found->second;
}

std::vector<StoreItem>
StoreMirror::Items() const
{
  std::vector<StoreItem> items;
  items.reserve(mItems.size());
  for (const auto& entry : mItems) {
    items.push_back(entry.second);
  }
  return items;
}

} // namespace verbenachute
