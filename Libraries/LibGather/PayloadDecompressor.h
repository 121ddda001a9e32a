#pragma once

#include <LibCore/Error.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

struct z_stream_s;

namespace verbenachute {

/// Restores the payloads that a PayloadCompressor has compressed, in the same
/// order.
class PayloadDecompressor
{
public:
  /// Binary logarithm of the number of earlier bytes that a payload may refer
  /// to.
  static constexpr int kWindowBits = 10;
  /// Ends the output of each flush; not sent.
  static constexpr std::string_view kFlushMarker{ "\x00\x00\xff\xff", 4 };

  /// aMaximumBytes limits the size of a restored payload.
  explicit PayloadDecompressor(std::size_t aMaximumBytes);

  /// Fails with InvalidInput at step Dispatch on data that is corrupt or too
  /// large when restored. No further payload can be restored then.
  [[nodiscard]] Result<std::string> Decompress(std::string_view aCompressed);

private:
  struct EndStream
  {
    void operator()(z_stream_s* aStream) const;
  };

  std::size_t mMaximumBytes;
  std::unique_ptr<z_stream_s, EndStream> mStream;
};

} // namespace verbenachute
