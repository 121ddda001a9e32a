#pragma once

#include <LibForward/ShardCover.h>
#include <LibForward/TargetRecord.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace verbenachute {

/// The targets that this node knows, by name and by service.
class TargetRecords
{
public:
  /// Adds a target or takes over its changed entry.
  void List(const ListedTarget& aTarget, Instant aNow);
  void Unlist(const TargetName& aTarget);

  /// Null if it is not listed.
  [[nodiscard]] TargetRecord* Find(const TargetName& aTarget);
  /// The targets of a service in the order of their names.
  [[nodiscard]] const std::vector<TargetRecord*>& Of(
    const ServiceName& aService) const;
  /// Place of a domain in the table of those seen; kMostDomains for those that
  /// found the table full.
  [[nodiscard]] std::size_t DomainPlace(const FailureDomain& aDomain);
  /// The same without adding it; kMostDomains if it was not seen.
  [[nodiscard]] std::size_t KnownPlace(const FailureDomain& aDomain) const;
  [[nodiscard]] const std::vector<FailureDomain>& Domains() const
  {
    return mDomains;
  }
  [[nodiscard]] std::size_t size() const { return mTargets.size(); }
  [[nodiscard]] std::vector<const TargetRecord*> All() const;

private:
  void Unindex(const ServiceName& aService, const TargetRecord* aRecord);
  void Index(TargetRecord* aRecord);

  std::map<TargetName, std::unique_ptr<TargetRecord>> mTargets;
  /// Domains in the order in which they were seen first.
  std::vector<FailureDomain> mDomains;
  std::unordered_map<ServiceName, std::vector<TargetRecord*>> mServices;
};

} // namespace verbenachute
