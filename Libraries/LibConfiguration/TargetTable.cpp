#include <LibConfiguration/TargetTable.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

TargetTable::TargetTable(std::vector<TargetEntry> aEntries)
  : mEntries(std::move(aEntries))
{
  std::sort(mEntries.begin(),
            mEntries.end(),
            [](const TargetEntry& aLeft, const TargetEntry& aRight) {
              return aLeft.mName < aRight.mName;
            });
  mNames.reserve(mEntries.size());
  mPositions.reserve(mEntries.size());
  for (const TargetEntry& entry : mEntries) {
    VERIFY(mPositions.emplace(entry.mName, mNames.size()).second);
    mNames.push_back(entry.mName);
    mServices[entry.mService].push_back(entry.mName);
  }
}

const TargetEntry*
TargetTable::Find(const TargetName& aTarget) const
{
  const auto found = mPositions.find(aTarget);
  return found == mPositions.end() ? nullptr : &mEntries[found->second];
}

std::size_t
TargetTable::PositionOf(const TargetName& aTarget) const
{
  const auto found = mPositions.find(aTarget);
  VERIFY(found != mPositions.end());
  return found->second;
}

const std::vector<TargetName>&
TargetTable::TargetsOf(const ServiceName& aService) const
{
  static const std::vector<TargetName> kNone;
  const auto found = mServices.find(aService);
  return found == mServices.end() ? kNone : found->second;
}

std::shared_ptr<const TargetTable>
TargetTable::With(const TargetEntry& aEntry) const
{
  std::vector<TargetEntry> entries = mEntries;
  const auto found = mPositions.find(aEntry.mName);
  if (found == mPositions.end()) {
    entries.push_back(aEntry);
  } else {
    entries[found->second] = aEntry;
  }
  return std::make_shared<TargetTable>(std::move(entries));
}

std::shared_ptr<const TargetTable>
TargetTable::Without(const TargetName& aTarget) const
{
  std::vector<TargetEntry> entries = mEntries;
  entries.erase(entries.begin() +
                static_cast<std::ptrdiff_t>(PositionOf(aTarget)));
  return std::make_shared<TargetTable>(std::move(entries));
}

} // namespace verbenachute
