#pragma once

#include <LibConfiguration/TargetEntry.h>

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace verbenachute {

/// All registered targets, indexed by name and by service. Never changes;
/// revisions that register no target share it.
class TargetTable
{
public:
  /// The names of the entries must differ.
  explicit TargetTable(std::vector<TargetEntry> aEntries);

  [[nodiscard]] const TargetEntry* Find(const TargetName& aTarget) const;
  /// Index of a target in Names; it must be registered.
  [[nodiscard]] std::size_t PositionOf(const TargetName& aTarget) const;
  [[nodiscard]] const std::vector<TargetName>& TargetsOf(
    const ServiceName& aService) const;
  /// Entries in ascending order of their names.
  [[nodiscard]] const std::vector<TargetEntry>& Entries() const
  {
    return mEntries;
  }
  [[nodiscard]] const std::vector<TargetName>& Names() const { return mNames; }
  [[nodiscard]] const std::map<ServiceName, std::vector<TargetName>>& Services()
    const
  {
    return mServices;
  }

  /// A table in which the entry is added or replaced.
  [[nodiscard]] std::shared_ptr<const TargetTable> With(
    const TargetEntry& aEntry) const;
  [[nodiscard]] std::shared_ptr<const TargetTable> Without(
    const TargetName& aTarget) const;

private:
  std::vector<TargetEntry> mEntries;
  std::vector<TargetName> mNames;
  std::unordered_map<TargetName, std::size_t> mPositions;
  std::map<ServiceName, std::vector<TargetName>> mServices;
};

} // namespace verbenachute
