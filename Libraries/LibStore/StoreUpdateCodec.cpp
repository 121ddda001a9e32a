#include <LibStore/StoreUpdateCodec.h>

#include <LibCore/Verify.h>
#include <LibWire/SingleMessage.h>

#include <array>
#include <zlib.h>

namespace verbenachute {

namespace {

enum class Kind
{
  Copy,
  Changes,
};

constexpr std::size_t kItemFields = 3;
constexpr std::size_t kChangeFields = 4;
// The planned deployment size has 84,000 targets of about 150 B and a
// configuration of some megabytes; a larger message is hostile.
constexpr std::size_t kMaximumBytes = 16UL * 1024 * 1024;
constexpr std::size_t kChunkBytes = 64UL * 1024;

std::string
Compress(const std::string& aBytes)
{
  uLongf size = compressBound(static_cast<uLong>(aBytes.size()));
  std::string compressed(size, '\0');
  const int result = compress2(reinterpret_cast<Bytef*>(compressed.data()),
                               &size,
                               reinterpret_cast<const Bytef*>(aBytes.data()),
                               static_cast<uLong>(aBytes.size()),
                               Z_BEST_SPEED);
  VERIFY(result == Z_OK);
  compressed.resize(size);
  return compressed;
}

Result<std::string>
Decompress(std::string_view aBytes)
{
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return Error{
      Step::Store, ErrorCode::InvalidInput, "", "zlib could not be initialized"
    };
  }
  // zlib does not modify its input, but declares it without const.
  stream.next_in =
    const_cast<Bytef*>(reinterpret_cast<const Bytef*>(aBytes.data()));
  stream.avail_in = static_cast<uInt>(aBytes.size());
  std::string decompressed;
  std::array<char, kChunkBytes> chunk{};
  int result = Z_OK;
  while (result == Z_OK && decompressed.size() <= kMaximumBytes) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = static_cast<uInt>(chunk.size());
    result = inflate(&stream, Z_NO_FLUSH);
    decompressed.append(chunk.data(), chunk.size() - stream.avail_out);
  }
  const bool isComplete = result == Z_STREAM_END && stream.avail_in == 0;
  inflateEnd(&stream);
  if (!isComplete) {
    return Error{ Step::Store,
                  ErrorCode::InvalidInput,
                  "",
                  "the compressed data is truncated, corrupt or too large" };
  }
  return decompressed;
}

/// Era 0 is left out, so that nodes of earlier releases get the message that
/// they expect.
void
WriteEra(StoreEra aEra, FieldWriter* aWriter)
{
  if (aEra != StoreEra()) {
    aWriter->Id(aEra);
  }
}

StoreEra
ReadEra(FieldReader* aReader)
{
  return aReader->Remaining() > 0 ? aReader->Id<StoreEra>() : StoreEra();
}

void
Write(const StorePage& aPage, FieldWriter* aWriter)
{
  aWriter->Enumerator(Kind::Copy);
  aWriter->Id(aPage.mStoreRevision);
  aWriter->Array(aPage.mItems.size());
  for (const StoreItem& item : aPage.mItems) {
    aWriter->Array(kItemFields);
    aWriter->Text(item.mKey);
    aWriter->Text(item.mValue);
    aWriter->Id(item.mRevision);
  }
  WriteEra(aPage.mEra, aWriter);
}

void
Write(const StoreChanges& aChanges, FieldWriter* aWriter)
{
  aWriter->Enumerator(Kind::Changes);
  aWriter->Id(aChanges.mStoreRevision);
  aWriter->Array(aChanges.mChanges.size());
  for (const StoreChange& change : aChanges.mChanges) {
    aWriter->Array(kChangeFields);
    aWriter->Text(change.mKey);
    aWriter->Number(change.mValue.has_value() ? 1 : 0);
    aWriter->Text(change.mValue.value_or(""));
    aWriter->Id(change.mRevision);
  }
  WriteEra(aChanges.mEra, aWriter);
}

StorePage
ReadCopy(FieldReader* aReader)
{
  StorePage page;
  page.mStoreRevision = aReader->Id<StoreRevision>();
  FieldReader items = aReader->Array();
  while (items.Remaining() > 0) {
    FieldReader entry = items.Array();
    StoreItem& item = page.mItems.emplace_back();
    item.mKey = entry.Text();
    item.mValue = entry.Text();
    item.mRevision = entry.Id<StoreRevision>();
  }
  page.mEra = ReadEra(aReader);
  return page;
}

StoreChanges
ReadChanges(FieldReader* aReader)
{
  StoreChanges changes;
  changes.mStoreRevision = aReader->Id<StoreRevision>();
  FieldReader entries = aReader->Array();
  while (entries.Remaining() > 0) {
    FieldReader entry = entries.Array();
    StoreChange& change = changes.mChanges.emplace_back();
    change.mKey = entry.Text();
    const bool hasValue = entry.Number<std::uint32_t>() != 0;
    std::string value = entry.Text();
    if (hasValue) {
      change.mValue = std::move(value);
    }
    change.mRevision = entry.Id<StoreRevision>();
  }
  changes.mEra = ReadEra(aReader);
  return changes;
}

StoreUpdate
ReadUpdate(FieldReader* aReader)
{
  if (aReader->Enumerator(Kind::Changes) == Kind::Copy) {
    return ReadCopy(aReader);
  }
  return ReadChanges(aReader);
}

} // namespace

std::string
EncodeStoreUpdate(const StoreUpdate& aUpdate)
{
  return Compress(EncodeSingleMessage([&](FieldWriter* aWriter) {
    std::visit([&](const auto& aContent) { Write(aContent, aWriter); },
               aUpdate);
  }));
}

Result<StoreUpdate>
DecodeStoreUpdate(std::string_view aBytes)
{
  const Result<std::string> uncompressed = Decompress(aBytes);
  if (IsError(uncompressed)) {
    return ErrorOf(uncompressed);
  }
  return DecodeSingleMessage<StoreUpdate>(
    ValueOf(uncompressed), Step::Store, ReadUpdate);
}

} // namespace verbenachute
