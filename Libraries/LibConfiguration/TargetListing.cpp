#include <LibConfiguration/TargetListing.h>

#include <LibConfiguration/ConfigurationChecks.h>

#include <set>
#include <utility>

namespace verbenachute {

Result<std::shared_ptr<const Configuration>>
WithListing(const std::shared_ptr<const Configuration>& aIntent,
            const TargetListing& aListing)
{
  ConfigurationContent content;
  if (aIntent) {
    content = aIntent->Content();
  }
  for (const auto& [name, region] : aListing.mDomains) {
    const DomainEntry domain{ name, region, DomainState::In };
    if (!IsError(CheckDomain(domain))) {
      content.mDomains.emplace(name, domain);
    }
  }
  std::map<TargetName, TargetEntry> targets;
  for (const TargetEntry& labelled : content.mTargets->Entries()) {
    targets.emplace(labelled.mName, labelled);
  }
  for (const TargetEntry& listed : aListing.mTargets) {
    if (!IsError(CheckTarget(listed, content))) {
      targets.insert_or_assign(listed.mName, listed);
    }
  }
  std::vector<TargetEntry> entries;
  entries.reserve(targets.size());
  for (std::pair<const TargetName, TargetEntry>& target : targets) {
    entries.push_back(std::move(target.second));
  }
  content.mTargets = std::make_shared<const TargetTable>(std::move(entries));
  return Configuration::Create(std::move(content));
}

Result<std::shared_ptr<const Configuration>>
WithoutListing(const Configuration& aConfiguration)
{
  ConfigurationContent content = aConfiguration.Content();
  std::vector<TargetEntry> labelled;
  std::set<FailureDomain> used;
  for (const auto& [name, labels] : content.mTargetLabels.All()) {
    const TargetEntry* target = content.mTargets->Find(name);
    if (target != nullptr) {
      labelled.push_back(*target);
      used.insert(target->mDomain);
    }
  }
  content.mTargets = std::make_shared<const TargetTable>(std::move(labelled));
  std::erase_if(content.mDomains, [&](const auto& aDomain) {
    return aDomain.second.mState == DomainState::In &&
           !content.mDomainLabels.contains(aDomain.first) &&
           !used.contains(aDomain.first);
  });
  return Configuration::Create(std::move(content));
}

} // namespace verbenachute
