#include <LibWire/FieldWriter.h>

#include <LibCore/Verify.h>

namespace verbenachute {

FieldWriter::FieldWriter(std::size_t aMessages)
  : mPacker(mMessage)
{
  msgpack::packer<msgpack::sbuffer>(mBatch).pack_array(
    static_cast<std::uint32_t>(aMessages));
}

void
FieldWriter::BeginMessage()
{
  mMessage.clear();
  mFields = 0;
  mNested = 0;
}

void
FieldWriter::EndMessage()
{
  VERIFY(mNested == 0);
  msgpack::packer<msgpack::sbuffer>(mBatch).pack_array(mFields);
  mBatch.write(mMessage.data(), mMessage.size());
}

void
FieldWriter::Array(std::size_t aSize)
{
  CountElement();
  mNested += aSize;
  mPacker.pack_array(static_cast<std::uint32_t>(aSize));
}

void
FieldWriter::Text(const std::string& aText)
{
  CountElement();
  mPacker.pack(aText);
}

void
FieldWriter::Real(double aValue)
{
  CountElement();
  mPacker.pack(aValue);
}

void
FieldWriter::Time(Duration aDuration)
{
  CountElement();
  mPacker.pack(static_cast<std::int64_t>(aDuration.count()));
}

std::string
FieldWriter::TakeBytes()
{
  std::string bytes(mBatch.data(), mBatch.size());
  mBatch.clear();
  return bytes;
}

void
FieldWriter::CountElement()
{
  if (mNested > 0) {
    --mNested;
    return;
  }
  ++mFields;
}

} // namespace verbenachute
