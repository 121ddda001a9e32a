#include <LibStore/StoreNewsShelf.h>

#include <LibStore/StoreNewsCodec.h>

namespace verbenachute {

void
StoreNewsShelf::DiscardOutdated(const StoreMirror& aMirror, Instant aNow)
{
  if (aMirror.At() != mAt) {
    mChanges.clear();
    mCopy = std::string();
    mAt = aMirror.At();
  }
  mLastRequest = aNow;
}

const std::string&
StoreNewsShelf::Changes(const StoreMirror& aMirror,
                        StoreRevision aAfter,
                        Instant aNow)
{
  DiscardOutdated(aMirror, aNow);
  const auto cached = mChanges.find(aAfter);
  if (cached != mChanges.end()) {
    return cached->second;
  }
  const std::optional<StoreChanges> changes = aMirror.Since(aAfter);
  if (!changes.has_value()) {
    return Copy(aMirror, aNow);
  }
  if (mChanges.size() >= kMost) {
    mChanges.erase(mChanges.begin());
  }
  return mChanges.emplace(aAfter, EncodeStoreNews(*changes)).first->second;
}

const std::string&
StoreNewsShelf::Copy(const StoreMirror& aMirror, Instant aNow)
{
  DiscardOutdated(aMirror, aNow);
  if (mCopy.empty()) {
    StorePage page;
    page.mItems = aMirror.Items();
    page.mAt = aMirror.At();
    mCopy = EncodeStoreNews(page);
  }
  return mCopy;
}

void
StoreNewsShelf::OnTime(Instant aNow)
{
  if (aNow - mLastRequest > kKept) {
    mChanges.clear();
    mCopy = std::string();
  }
}

} // namespace verbenachute
