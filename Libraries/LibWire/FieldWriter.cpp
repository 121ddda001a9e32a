#include <LibWire/FieldWriter.h>

#include <LibCore/Verify.h>

namespace verbenachute {

FieldWriter::FieldWriter(std::size_t aMessageCount)
  : mPacker(mMessage)
{
  msgpack::packer<msgpack::sbuffer>(mBatch).pack_array(
    static_cast<std::uint32_t>(aMessageCount));
}

void
FieldWriter::BeginMessage()
{
  mMessage.clear();
  mFieldCount = 0;
  mNestedRemaining = 0;
}

void
FieldWriter::EndMessage()
{
  VERIFY(mNestedRemaining == 0);
  msgpack::packer<msgpack::sbuffer>(mBatch).pack_array(mFieldCount);
  mBatch.write(mMessage.data(), mMessage.size());
}

void
FieldWriter::Array(std::size_t aSize)
{
  CountElement();
  mNestedRemaining += aSize;
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
FieldWriter::ReleaseBytes()
{
  std::string bytes(mBatch.data(), mBatch.size());
  mBatch.clear();
  return bytes;
}

void
FieldWriter::CountElement()
{
  if (mNestedRemaining > 0) {
    --mNestedRemaining;
    return;
  }
  ++mFieldCount;
}

} // namespace verbenachute
