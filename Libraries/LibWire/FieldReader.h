#pragma once

#include <LibCore/Time.h>

#include <msgpack.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace verbenachute {

/// A field that is missing, has the wrong type or is out of range. MessagePack
/// itself reports errors by exceptions, so the codecs throw this too; it never
/// leaves them.
class MalformedField : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Reads the elements of one MessagePack array in order. Unread elements are
/// ignored, so that a later release can append fields. A read throws
/// MalformedField if no element is left, and msgpack::type_error if the element
/// has another type.
class FieldReader
{
public:
  explicit FieldReader(const msgpack::object& aArray);

  /// Number of elements that have not been read.
  [[nodiscard]] std::size_t Remaining() const;
  [[nodiscard]] FieldReader Array();
  [[nodiscard]] std::string Text();
  [[nodiscard]] double Real();
  /// Reads a duration in microseconds.
  [[nodiscard]] Duration Time();

  template<typename Value>
  [[nodiscard]] Value Number()
  {
    return Next().as<Value>();
  }

  template<typename Identifier>
  [[nodiscard]] Identifier Id()
  {
    return Identifier(Next().as<typename Identifier::ValueType>());
  }

  /// Reads an enumerator; throws MalformedField if it is greater than aLast.
  template<typename Enumeration>
  [[nodiscard]] Enumeration Enumerator(Enumeration aLast)
  {
    const std::uint32_t number = Next().as<std::uint32_t>();
    if (number > static_cast<std::uint32_t>(aLast)) {
      throw MalformedField("enumerator out of range");
    }
    return static_cast<Enumeration>(number);
  }

private:
  const msgpack::object& Next();

  const msgpack::object* mNext;
  const msgpack::object* mEnd;
};

/// One unpacked MessagePack object with bounded depth. Unpacked strings refer
/// to aBytes, which has to outlive this object. The constructor throws
/// MalformedField or a MessagePack exception if aBytes is not exactly one
/// object.
class UnpackedBytes
{
public:
  explicit UnpackedBytes(std::string_view aBytes);

  [[nodiscard]] FieldReader Root() const;

private:
  msgpack::object_handle mHandle;
};

} // namespace verbenachute
