#include <LibConfiguration/PartFetch.h>

namespace verbenachute {

namespace {

/// Maximum number of parts that are requested at the same time.
constexpr std::size_t kPartsAsked = 8;

} // namespace

PartFetch::PartFetch(ConfigurationHead aHead,
                     ConfigurationSource aSource,
                     std::optional<Instant> aConfirmed,
                     Instant aNow)
  : mHead(std::move(aHead))
  , mSource(std::move(aSource))
  , mConfirmed(aConfirmed)
  , mMissing(mHead.mParts.begin(), mHead.mParts.end())
  , mDue(aNow)
{
}

bool
PartFetch::IsComplete() const
{
  return mMissing.empty();
}

void
PartFetch::AddKnownParts(const ConfigurationParts& aKnown)
{
  for (const PartName& part : mHead.mParts) {
    const auto known = aKnown.find(part);
    if (known != aKnown.end()) {
      Take(part, known->second);
    }
  }
}

void
PartFetch::Take(const PartName& aPart, std::shared_ptr<const std::string> aText)
{
  mAsked.erase(aPart);
  if (mMissing.erase(aPart) > 0) {
    mParts[aPart] = std::move(aText);
  }
}

std::vector<PartName>
PartFetch::TakeNextParts(Instant aNow)
{
  std::vector<PartName> next;
  for (const PartName& part : mMissing) {
    if (aNow < mDue || mAsked.size() >= kPartsAsked) {
      break;
    }
    if (mAsked.insert(part).second) {
      next.push_back(part);
    }
  }
  return next;
}

bool
PartFetch::OnFailure(const PartName& aPart, Instant aDue)
{
  if (mAsked.erase(aPart) == 0) {
    return false;
  }
  ++mFailures;
  mDue = aDue;
  return true;
}

ConfigurationSource
PartFetch::NextSource(const std::map<NodeName, Revision>& aPeers) const
{
  const NodeName* first = std::get_if<NodeName>(&mSource);
  std::vector<ConfigurationSource> sources;
  sources.push_back(mSource);
  for (const auto& [peer, revision] : aPeers) {
    const bool isFirst = first && *first == peer;
    if (revision >= mHead.mRevision && !isFirst) {
      sources.emplace_back(peer);
    }
  }
  if (first) {
    sources.emplace_back(StoreSource{});
  }
  return sources[mFailures % sources.size()];
}

std::optional<Instant>
PartFetch::Due() const
{
  const bool isWaiting =
    mAsked.size() >= kPartsAsked || mAsked.size() == mMissing.size();
  return isWaiting ? std::nullopt : std::optional(mDue);
}

} // namespace verbenachute
