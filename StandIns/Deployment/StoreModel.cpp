#include "StoreModel.h"

#include <algorithm>

namespace verbenachute::standins {

const StoreModel::Item*
StoreModel::Find(const std::string& aKey) const
{
  const auto found = mItems.find(aKey);
  return found == mItems.end() ? nullptr : &found->second;
}

StoreModel::Outcome
StoreModel::Transact(const std::vector<Row>& aPrecondition,
                     const std::vector<Write>& aWrites,
                     const std::vector<std::string>& aDeletes)
{
  for (const Row& row : aPrecondition) {
    const Item* item = Find(row.mKey);
    if ((item == nullptr ? 0 : item->mRevision) != row.mRevision) {
      return Outcome::PreconditionFailed;
    }
  }
  for (const Write& write : aWrites) {
    if (write.mLease != 0 && !mLeases.contains(write.mLease)) {
      return Outcome::UnknownLease;
    }
  }
  const std::uint64_t revision = ++mRevision;
  for (const Write& write : aWrites) {
    Item& item = mItems[write.mKey];
    item.mCreated = item.mCreated == 0 ? revision : item.mCreated;
    item.mValue = write.mValue;
    item.mRevision = revision;
    item.mLease = write.mLease;
    mHistory.push_back(Event{ write.mKey, revision, item });
  }
  for (const std::string& key : aDeletes) {
    RemoveAt(key, revision);
  }
  return Outcome::Done;
}

void
StoreModel::Put(const std::string& aKey, const std::string& aValue)
{
  Transact({}, { Write{ aKey, aValue, 0 } }, {});
}

void
StoreModel::Remove(const std::string& aKey)
{
  Transact({}, {}, { aKey });
}

void
StoreModel::RemoveAt(const std::string& aKey, std::uint64_t aRevision)
{
  if (mItems.erase(aKey) > 0) {
    mHistory.push_back(Event{ aKey, aRevision, std::nullopt });
  }
}

StoreModel::LeaseNumber
StoreModel::Grant(Duration aLife, Instant aNow)
{
  mLeases[++mLastLease] = Lease{ aLife, aNow + aLife };
  return mLastLease;
}

bool
StoreModel::Renew(LeaseNumber aLease, Instant aNow)
{
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    return false;
  }
  found->second.mEnd = aNow + found->second.mLife;
  return true;
}

bool
StoreModel::End(LeaseNumber aLease)
{
  if (mLeases.erase(aLease) == 0) {
    return false;
  }
  std::vector<std::string> keys;
  for (const auto& [key, item] : mItems) {
    if (item.mLease == aLease) {
      keys.push_back(key);
    }
  }
  if (!keys.empty()) {
    Transact({}, {}, keys);
  }
  return true;
}

void
StoreModel::Expire(Instant aNow)
{
  std::vector<LeaseNumber> ended;
  for (const auto& [number, lease] : mLeases) {
    if (lease.mEnd <= aNow) {
      ended.push_back(number);
    }
  }
  for (const LeaseNumber number : ended) {
    End(number);
  }
}

std::optional<std::vector<StoreModel::Event>>
StoreModel::Since(std::uint64_t aAfter) const
{
  if (aAfter < mForgotten || (mEra > 0 && aAfter > mRevision)) {
    return std::nullopt;
  }
  const auto first =
    std::upper_bound(mHistory.begin(),
                     mHistory.end(),
                     aAfter,
                     [](std::uint64_t aRevision, const Event& aEvent) {
                       return aRevision < aEvent.mRevision;
                     });
  return std::vector<Event>(first, mHistory.end());
}

StoreModel::Copy
StoreModel::MakeCopy() const
{
  return Copy{ mRevision, mLastLease, mItems };
}

void
StoreModel::Restore(const Copy& aCopy)
{
  ++mEra;
  mRevision = aCopy.mRevision;
  mLastLease = aCopy.mLastLease;
  mItems = aCopy.mItems;
  std::erase_if(mItems,
                [](const auto& aEntry) { return aEntry.second.mLease != 0; });
  mLeases.clear();
  ForgetHistory();
}

void
StoreModel::ForgetHistory()
{
  mHistory.clear();
  mForgotten = mRevision;
}

} // namespace verbenachute::standins
