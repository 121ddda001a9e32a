#pragma once

#include <LibCore/Time.h>

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenachute {

/// Packs a batch of messages, each as a MessagePack array of its fields.
class FieldWriter
{
public:
  explicit FieldWriter(std::size_t aMessages);

  void BeginMessage();
  void EndMessage();

  /// Opens an array; the next aSize elements are its elements.
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

  [[nodiscard]] std::string TakeBytes();

private:
  void CountElement();

  msgpack::sbuffer mBatch;
  msgpack::sbuffer mMessage;
  msgpack::packer<msgpack::sbuffer> mPacker;
  std::uint32_t mFields = 0;
  // Elements still due of arrays within the message, which are no fields.
  std::size_t mNested = 0;
};

} // namespace verbenachute
