#include <LibConfiguration/LabelTable.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>

namespace verbenachute {

LabelTable::LabelTable(const std::map<TargetName, LabelSet>& aLabels)
{
  std::array<std::shared_ptr<Bucket>, kBucketCount> buckets;
  for (const auto& [target, labels] : aLabels) {
    if (labels.empty()) {
      continue;
    }
    std::shared_ptr<Bucket>& bucket = buckets[BucketOf(target)];
    if (!bucket) {
      bucket = std::make_shared<Bucket>();
    }
    bucket->emplace_hint(bucket->end(), target, labels);
  }
  std::copy(buckets.begin(), buckets.end(), mBuckets.begin());
}

const LabelSet&
LabelTable::LabelsOf(const TargetName& aTarget) const
{
  static const LabelSet kNoLabels;
  const std::shared_ptr<const Bucket>& bucket = mBuckets[BucketOf(aTarget)];
  if (!bucket) {
    return kNoLabels;
  }
  const auto found = bucket->find(aTarget);
  return found == bucket->end() ? kNoLabels : found->second;
}

void
LabelTable::Set(const TargetName& aTarget, LabelSet aLabels)
{
  std::shared_ptr<const Bucket>& bucket = mBuckets[BucketOf(aTarget)];
  const std::shared_ptr<Bucket> copy =
    bucket ? std::make_shared<Bucket>(*bucket) : std::make_shared<Bucket>();
  if (aLabels.empty()) {
    copy->erase(aTarget);
  } else {
    copy->insert_or_assign(aTarget, std::move(aLabels));
  }
  bucket = copy;
}

std::map<TargetName, const LabelSet*>
LabelTable::All() const
{
  std::map<TargetName, const LabelSet*> all;
  for (const std::shared_ptr<const Bucket>& bucket : mBuckets) {
    if (!bucket) {
      continue;
    }
    for (const auto& [target, labels] : *bucket) {
      all.emplace(target, &labels);
    }
  }
  return all;
}

std::size_t
LabelTable::BucketOf(const TargetName& aTarget)
{
  return StableHash(aTarget.value()) % kBucketCount;
}

} // namespace verbenachute
