#include <LibEntry/OperatorConfiguration.h>

#include <LibConfiguration/ConfigurationCodec.h>
#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

Revision
OperatorConfiguration::RevisionInForce() const
{
  return mBase.mConfiguration ? mBase.mConfiguration->CurrentRevision()
                              : Revision();
}

Result<OperatorConfiguration::Outcome>
OperatorConfiguration::Update(const Keys& aKeys)
{
  const auto text = aKeys.find(std::string(kHeadKey));
  if (text == aKeys.end()) {
    return Outcome::Unchanged;
  }
  Result<ConfigurationHead> head = ConfigurationHead::Create(text->second);
  if (IsError(head)) {
    return ErrorOf(head);
  }
  WriterBase next;
  next.mHead = ReleaseValue(std::move(head));
  mLargestKnown = std::max(mLargestKnown, next.mHead.mRevision);
  if (next.mHead.mRevision <= RevisionInForce()) {
    return Outcome::Unchanged;
  }
  for (const PartName& name : next.mHead.mParts) {
    const auto known = mBase.mParts.find(name);
    if (known != mBase.mParts.end()) {
      next.mParts.insert(*known);
      continue;
    }
    const auto part = aKeys.find(name.Key());
    if (part == aKeys.end()) {
      // The part has not arrived yet; its arrival calls this function again.
      return Outcome::Unchanged;
    }
    next.mParts[name] = std::make_shared<const std::string>(part->second);
  }
  Result<std::shared_ptr<const Configuration>> decoded =
    ConfigurationCodec::Decode(next.mHead, next.mParts);
  if (IsError(decoded)) {
    return ErrorOf(decoded);
  }
  next.mConfiguration = ReleaseValue(std::move(decoded));
  VERIFY(next.mConfiguration->CurrentRevision() > RevisionInForce());
  mBase = std::move(next);
  return Outcome::InForce;
}

} // namespace verbenachute
