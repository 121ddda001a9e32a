#include <LibStore/StoreNewsShelf.h>

#include <LibStore/StoreNewsCodec.h>

namespace verbenachute {

void
StoreNewsShelf::Refresh(const StoreMirror& aMirror, Instant aNow)
{
  if (aMirror.At() != mAt) {
    mChanges.clear();
    mCopy = std::string();
    mAt = aMirror.At();
  }
  mAsked = aNow;
}

const std::string&
StoreNewsShelf::Changes(const StoreMirror& aMirror,
                        StoreRevision aAfter,
                        Instant aNow)
{
  Refresh(aMirror, aNow);
  const auto known = mChanges.find(aAfter);
  if (known != mChanges.end()) {
    return known->second;
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
  Refresh(aMirror, aNow);
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
  if (aNow - mAsked > kKept) {
    mChanges.clear();
    mCopy = std::string();
  }
}

} // namespace verbenachute
