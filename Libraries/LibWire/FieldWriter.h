#pragma once

#include <LibCore/Time.h>

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenachute {

/// Packs a batch of messages as a MessagePack array. Each message is an array
/// of its fields.
class FieldWriter
{
public:
  explicit FieldWriter(std::size_t aMessageCount);

  void BeginMessage();
  void EndMessage();

  /// Begins an array; the next aSize elements written belong to it.
  void Array(std::size_t aSize);
  void Text(const std::string& aText);
  void Real(double aValue);

  template<typename Value>
  void Number(Value aValue)
  {
    CountElement();
    mPacker.pack(static_cast<std::uint64_t>(aValue));
  }

  template<typename Identifier>
  void Id(const Identifier& aId)
  {
    CountElement();
    mPacker.pack(aId.value());
  }

  template<typename Enumeration>
  void Enumerator(Enumeration aValue)
  {
    Number(static_cast<std::uint32_t>(aValue));
  }

  /// Writes a duration in microseconds.
  void Time(Duration aDuration);

  /// Returns the packed batch and clears the writer.
  [[nodiscard]] std::string ReleaseBytes();

private:
  void CountElement();

  msgpack::sbuffer mBatch;
  msgpack::sbuffer mMessage;
  msgpack::packer<msgpack::sbuffer> mPacker;
  std::uint32_t mFieldCount = 0;
  // Elements of nested arrays that are still to be written; they do not count
  // as fields of the message.
  std::size_t mNestedRemaining = 0;
};

} // namespace verbenachute
