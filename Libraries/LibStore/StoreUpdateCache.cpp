#include <LibStore/StoreUpdateCache.h>

#include <LibStore/StoreUpdateCodec.h>

namespace verbenachute {

void
StoreUpdateCache::DiscardOutdated(const StoreMirror& aMirror, Instant aNow)
{
  if (aMirror.Position() != mPosition) {
    mChanges.clear();
    mCopy = std::string();
    mPosition = aMirror.Position();
  }
  mLastRequest = aNow;
}

const std::string&
StoreUpdateCache::Changes(const StoreMirror& aMirror,
                          StorePosition aAfter,
                          Instant aNow)
{
  DiscardOutdated(aMirror, aNow);
  if (aAfter.mEra != mPosition.mEra) {
    return Copy(aMirror, aNow);
  }
  const auto cached = mChanges.find(aAfter.mRevision);
  if (cached != mChanges.end()) {
    return cached->second;
  }
  const std::optional<StoreChanges> changes =
    aMirror.ChangesSince(aAfter.mRevision);
  if (!changes.has_value()) {
    return Copy(aMirror, aNow);
  }
  if (mChanges.size() >= kMost) {
    mChanges.erase(mChanges.begin());
  }
  return mChanges.emplace(aAfter.mRevision, EncodeStoreUpdate(*changes))
    .first->second;
}

const std::string&
StoreUpdateCache::Copy(const StoreMirror& aMirror, Instant aNow)
{
  DiscardOutdated(aMirror, aNow);
  if (mCopy.empty()) {
    StorePage page;
    page.mItems = aMirror.Items();
    page.mStoreRevision = aMirror.CurrentRevision();
    page.mEra = aMirror.Position().mEra;
    mCopy = EncodeStoreUpdate(page);
  }
  return mCopy;
}

void
StoreUpdateCache::OnTime(Instant aNow)
{
  if (aNow - mLastRequest > kKept) {
    mChanges.clear();
    mCopy = std::string();
  }
}

} // namespace verbenachute
