#include <LibConfiguration/PartCutter.h>

#include <LibConfiguration/ContentDigest.h>
#include <LibCore/RendezvousHash.h>
#include <LibCore/Verify.h>
#include <LibJson/JsonText.h>

namespace verbenachute {

namespace {

/// Average number of entries in a part.
constexpr std::uint64_t kEntriesAPart = 256;
/// Room for the braces and the section's name around the entries.
constexpr std::size_t kFrameBytes = 100;

} // namespace

PartCutter::PartCutter(std::string aSection,
                       const std::map<std::string, PartName>& aKnown,
                       std::string aTag,
                       EncodedConfiguration* aEncoded)
  : mSection(std::move(aSection))
  , mKnown(aKnown)
  , mTag(std::move(aTag))
  , mEncoded(aEncoded)
{
}

Result<Success>
PartCutter::Add(const ConfigurationDocument::Entry& aEntry)
{
  const std::string text = CompactJson(aEntry.mValue);
  if (text.size() + kFrameBytes > kStoreValueBytes) {
    return Error{ Step::Configuration,
                  ErrorCode::TooLarge,
                  "",
                  "the entry '" + aEntry.mName + "' of " + mSection +
                    " is too large for the store" };
  }
  if (mEntries.size() + text.size() + kFrameBytes > kStoreValueBytes) {
    Close();
  }
  mEntries += (mEntries.empty() ? "" : ",") + text;
  if (StableHash(aEntry.mName) % kEntriesAPart == 0) {
    Close();
  }
  return Success{};
}

void
PartCutter::Close()
{
  if (mEntries.empty()) {
    return;
  }
  std::string text =
    R"({"entries":[)" + mEntries + R"(],"section":")" + mSection + "\"}";
  VERIFY(text.size() <= kStoreValueBytes);
  const std::string digest = ContentDigest(text);
  const auto known = mKnown.find(digest);
  const PartName name =
    known == mKnown.end() ? PartName{ digest, mTag } : known->second;
  mEncoded->mHead.mParts.push_back(name);
  mEncoded->mParts[name] = std::make_shared<const std::string>(std::move(text));
  mEntries.clear();
}

} // namespace verbenachute
