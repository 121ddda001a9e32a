#include <LibWire/FieldReader.h>

namespace verbenachute {

namespace {

constexpr std::size_t kMaximumDepth = 8;
// The link limits the size of a frame, so no element count in a valid frame can
// exceed its bytes.
constexpr std::size_t kMaximumElements = 1U << 22;

// Makes unpacked strings refer to the input instead of copying them.
bool
ReferenceInput(msgpack::type::object_type, std::size_t, void*)
{
  return true;
}

} // namespace

FieldReader::FieldReader(const msgpack::object& aArray)
{
  if (aArray.type != msgpack::type::ARRAY) {
    throw MalformedField("an array was expected");
  }
  mNext = aArray.via.array.ptr;
  mEnd = mNext + aArray.via.array.size;
}

std::size_t
FieldReader::Remaining() const
{
  return static_cast<std::size_t>(mEnd - mNext);
}

FieldReader
FieldReader::Array()
{
  return FieldReader(Next());
}

std::string
FieldReader::Text()
{
  return Next().as<std::string>();
}

double
FieldReader::Real()
{
  return Next().as<double>();
}

Duration
FieldReader::Time()
{
  return Duration(Next().as<std::int64_t>());
}

const msgpack::object&
FieldReader::Next()
{
  if (mNext == mEnd) {
    throw MalformedField("a field is missing");
  }
  return *mNext++;
}

UnpackedBytes::UnpackedBytes(std::string_view aBytes)
{
  if (aBytes.empty()) {
    throw MalformedField("the batch is empty");
  }
  std::size_t offset = 0;
  const msgpack::unpack_limit limit(kMaximumElements,
                                    kMaximumElements,
                                    aBytes.size(),
                                    aBytes.size(),
                                    aBytes.size(),
                                    kMaximumDepth);
  mHandle = msgpack::unpack(
    aBytes.data(), aBytes.size(), offset, ReferenceInput, nullptr, limit);
  if (offset != aBytes.size()) {
    throw MalformedField("bytes follow the batch");
  }
}

FieldReader
UnpackedBytes::Root() const
{
  return FieldReader(mHandle.get());
}

} // namespace verbenachute
