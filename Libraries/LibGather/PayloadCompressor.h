#pragma once

#include <memory>
#include <string>
#include <string_view>

struct z_stream_s;

namespace verbenachute {

/// Compresses the payloads of one direction of a link. Each payload is
/// compressed with what earlier ones contained, since the requests of a link
/// have most of their fields in common. A PayloadDecompressor must get all
/// payloads in the same order.
class PayloadCompressor
{
public:
  PayloadCompressor();

  [[nodiscard]] std::string Compress(std::string_view aPayload);

private:
  struct EndStream
  {
    void operator()(z_stream_s* aStream) const;
  };

  std::unique_ptr<z_stream_s, EndStream> mStream;
};

} // namespace verbenachute
