#pragma once

#include <LibConfiguration/LabelSet.h>
#include <LibCore/Identifiers.h>

#include <array>
#include <map>
#include <memory>

namespace verbenachute {

/// Labels of all targets. Copies share their buckets, so that a revision that
/// changes one label copies one bucket of the table and not all of it.
class LabelTable
{
public:
  using Bucket = std::map<TargetName, LabelSet>;

  LabelTable() = default;
  /// A table of many targets at once.
  explicit LabelTable(const std::map<TargetName, LabelSet>& aLabels);

  /// The labels of a target; empty if it has none.
  [[nodiscard]] const LabelSet& LabelsOf(const TargetName& aTarget) const;
  /// Replaces the labels of a target; empty labels remove it.
  void Set(const TargetName& aTarget, LabelSet aLabels);
  /// All labelled targets in ascending order of their names.
  [[nodiscard]] std::map<TargetName, const LabelSet*> All() const;

private:
  static constexpr std::size_t kBucketCount = 256;

  [[nodiscard]] static std::size_t BucketOf(const TargetName& aTarget);

  std::array<std::shared_ptr<const Bucket>, kBucketCount> mBuckets;
};

} // namespace verbenachute
