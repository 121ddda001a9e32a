#include "KeyStore.h"

#include <utility>

namespace verbenachute::standins {

const KeyEntry*
KeyStore::Find(const std::string& aKey) const
{
  const auto found = mEntries.find(aKey);
  return found == mEntries.end() ? nullptr : &found->second;
}

KeyRevision
KeyStore::RevisionOf(const std::string& aKey) const
{
  const KeyEntry* entry = Find(aKey);
  return entry ? entry->mRevision : KeyRevision(0);
}

WriteResult
KeyStore::Put(const std::string& aKey,
              std::string aValue,
              KeyRevision aExpected,
              std::optional<LeaseId> aLease)
{
  const KeyRevision current = RevisionOf(aKey);
  if (current != aExpected) {
    return { WriteResult::Outcome::Conflict, current };
  }
  if (aLease) {
    const auto lease = mLeases.find(*aLease);
    if (lease == mLeases.end()) {
      return { WriteResult::Outcome::UnknownLease, current };
    }
    lease->second.mKeys.push_back(aKey);
  }
  KeyRevision& last = mLastRevisions[aKey];
  last = KeyRevision(last.value() + 1);
  mEntries[aKey] = KeyEntry{ std::move(aValue), last };
  return { WriteResult::Outcome::Applied, last };
}

WriteResult
KeyStore::Remove(const std::string& aKey, KeyRevision aExpected)
{
  const KeyRevision current = RevisionOf(aKey);
  if (current != aExpected || current == KeyRevision(0)) {
    return { WriteResult::Outcome::Conflict, current };
  }
  mEntries.erase(aKey);
  return { WriteResult::Outcome::Applied, KeyRevision(0) };
}

LeaseId
KeyStore::Grant(Duration aTimeToLive, Instant aNow)
{
  const LeaseId id(++mLastLease);
  mLeases[id] = Lease{ aTimeToLive, aNow + aTimeToLive, {} };
  return id;
}

bool
KeyStore::Renew(LeaseId aLease, Instant aNow)
{
  Expire(aNow);
  const auto lease = mLeases.find(aLease);
  if (lease == mLeases.end()) {
    return false;
  }
  lease->second.mEnd = aNow + lease->second.mTimeToLive;
  return true;
}

bool
KeyStore::Revoke(LeaseId aLease)
{
  const auto lease = mLeases.find(aLease);
  if (lease == mLeases.end()) {
    return false;
  }
  for (const std::string& key : lease->second.mKeys) {
    mEntries.erase(key);
  }
  mLeases.erase(lease);
  return true;
}

void
KeyStore::Expire(Instant aNow)
{
  std::vector<LeaseId> ended;
  for (const auto& [id, lease] : mLeases) {
    if (lease.mEnd <= aNow) {
      ended.push_back(id);
    }
  }
  for (const LeaseId id : ended) {
    Revoke(id);
  }
}

} // namespace verbenachute::standins
