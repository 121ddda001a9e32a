#pragma once

#include <LibCore/Time.h>

#include <msgpack.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace verbenachute {

/// A field that is missing, of another type or out of range. Thrown within
/// the codec only, as MessagePack itself reports errors by exceptions.
class MalformedField : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Reads the elements of one MessagePack array in order. Elements beyond
/// those read are ignored, so that a later release can add fields.
class FieldReader
{
public:
  explicit FieldReader(const msgpack::object& aArray);

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

  /// Reads an enumerator; aLast is the last one of the enumeration.
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

/// Bytes that were unpacked as one MessagePack array, with bounded depth.
class UnpackedBytes
{
public:
  explicit UnpackedBytes(std::string_view aBytes);

  [[nodiscard]] FieldReader Root() const;

private:
  msgpack::object_handle mHandle;
};

} // namespace verbenachute
