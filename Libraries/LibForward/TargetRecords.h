#pragma once

#include <LibForward/ShardCover.h>
#include <LibForward/TargetRecord.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace verbenachute {

/// The targets that this node knows, indexed by name and by service.
class TargetRecords
{
public:
  /// Adds a target or applies its changed entry.
  void List(const ListedTarget& aTarget, Instant aNow);
  void Unlist(const TargetName& aTarget);

  /// Null if the target is not listed. The pointer is valid until the target is
  /// unlisted.
  [[nodiscard]] TargetRecord* Find(const TargetName& aTarget);
  [[nodiscard]] const TargetRecord* Find(const TargetName& aTarget) const;
  /// The targets of a service, sorted by name; empty if there are none.
  [[nodiscard]] const std::vector<TargetRecord*>& Of(
    const ServiceName& aService) const;
  /// Index of a domain in the table of domains; the domain is added if it is
  /// new. kMaximumDomains if the table is full.
  [[nodiscard]] std::size_t DomainIndex(const FailureDomain& aDomain);
  /// Index of a domain in the table; kMaximumDomains if it is not in there.
  [[nodiscard]] std::size_t FindDomainIndex(const FailureDomain& aDomain) const;
  [[nodiscard]] const std::vector<FailureDomain>& Domains() const
  {
    return mDomains;
  }
  [[nodiscard]] std::size_t size() const { return mTargets.size(); }
  [[nodiscard]] std::vector<const TargetRecord*> All() const;

private:
  void RemoveFromService(const ServiceName& aService,
                         const TargetRecord* aRecord);
  void AddToService(TargetRecord* aRecord);

  std::map<TargetName, std::unique_ptr<TargetRecord>> mTargets;
  /// Targets that were unlisted after they had said that they end: their entry
  /// may come back before they do. The oldest are dropped.
  std::deque<ListedTarget> mLeftTargets;
  /// Domains in the order in which they were first seen.
  std::vector<FailureDomain> mDomains;
  std::unordered_map<ServiceName, std::vector<TargetRecord*>> mServices;
};

} // namespace verbenachute
