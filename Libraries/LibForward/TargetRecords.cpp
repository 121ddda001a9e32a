#include <LibForward/TargetRecords.h>

#include <algorithm>

namespace verbenachute {

namespace {

constexpr std::size_t kMaximumLeftTargets = 256;

} // namespace

void
TargetRecords::List(const ListedTarget& aTarget, Instant aNow)
{
  std::unique_ptr<TargetRecord>& record = mTargets[aTarget.mName];
  if (!record) {
    record = std::make_unique<TargetRecord>(aTarget, aNow);
    record->SetDomainIndex(DomainIndex(aTarget.mDomain));
    AddToService(record.get());
    const bool hasLeft = std::any_of(
      mLeftTargets.begin(), mLeftTargets.end(), [&](const ListedTarget& aLeft) {
        return aLeft.mName == aTarget.mName &&
               aLeft.mStartTime == aTarget.mStartTime &&
               aLeft.mAddress == aTarget.mAddress;
      });
    if (hasLeft) {
      record->Gate().OnLeaving();
    }
    return;
  }
  const ServiceName oldService = record->Listed().mService;
  record->Update(aTarget, aNow);
  record->SetDomainIndex(DomainIndex(aTarget.mDomain));
  if (oldService != aTarget.mService) {
    RemoveFromService(oldService, record.get());
    AddToService(record.get());
  }
}

void
TargetRecords::Unlist(const TargetName& aTarget)
{
  const auto found = mTargets.find(aTarget);
  if (found == mTargets.end()) {
    return;
  }
  RemoveFromService(found->second->Listed().mService, found->second.get());
  if (found->second->Gate().IsLeaving()) {
    mLeftTargets.push_back(found->second->Listed());
    if (mLeftTargets.size() > kMaximumLeftTargets) {
      mLeftTargets.pop_front();
    }
  }
  mTargets.erase(found);
}

TargetRecord*
TargetRecords::Find(const TargetName& aTarget)
{
  const auto found = mTargets.find(aTarget);
  return found == mTargets.end() ? nullptr : found->second.get();
}

const TargetRecord*
TargetRecords::Find(const TargetName& aTarget) const
{
  const auto found = mTargets.find(aTarget);
  return found == mTargets.end() ? nullptr : found->second.get();
}

const std::vector<TargetRecord*>&
TargetRecords::Of(const ServiceName& aService) const
{
  static const std::vector<TargetRecord*> sNoTargets;
  const auto found = mServices.find(aService);
  return found == mServices.end() ? sNoTargets : found->second;
}

std::size_t
TargetRecords::DomainIndex(const FailureDomain& aDomain)
{
  const std::size_t known = FindDomainIndex(aDomain);
  if (known < kMaximumDomains || mDomains.size() >= kMaximumDomains) {
    return known;
  }
  mDomains.push_back(aDomain);
  return mDomains.size() - 1;
}

std::size_t
TargetRecords::FindDomainIndex(const FailureDomain& aDomain) const
{
  const auto found = std::find(mDomains.begin(), mDomains.end(), aDomain);
  return found == mDomains.end()
           ? kMaximumDomains
           : static_cast<std::size_t>(found - mDomains.begin());
}

std::vector<const TargetRecord*>
TargetRecords::All() const
{
  std::vector<const TargetRecord*> all;
  all.reserve(mTargets.size());
  for (const auto& entry : mTargets) {
    all.push_back(entry.second.get());
  }
  return all;
}

void
TargetRecords::AddToService(TargetRecord* aRecord)
{
  std::vector<TargetRecord*>& targets = mServices[aRecord->Listed().mService];
  const auto position =
    std::lower_bound(targets.begin(),
                     targets.end(),
                     aRecord,
                     [](const TargetRecord* aOne, const TargetRecord* aOther) {
                       return aOne->Listed().mName < aOther->Listed().mName;
                     });
  targets.insert(position, aRecord);
}

void
TargetRecords::RemoveFromService(const ServiceName& aService,
                                 const TargetRecord* aRecord)
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return;
  }
  std::erase(found->second, aRecord);
  if (found->second.empty()) {
    mServices.erase(found);
  }
}

} // namespace verbenachute
