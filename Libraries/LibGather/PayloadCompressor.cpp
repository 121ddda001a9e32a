#include <LibGather/PayloadCompressor.h>

#include <LibGather/PayloadDecompressor.h>

#include <LibCore/Verify.h>

#include <array>
#include <zlib.h>

namespace verbenachute {

namespace {

// Memory of about 15 KB for each link; two requests fit into the window.
constexpr int kMemoryLevel = 3;
constexpr std::size_t kChunkBytes = 2048;

} // namespace

void
PayloadCompressor::EndStream::operator()(z_stream_s* aStream) const
{
  deflateEnd(aStream);
  delete aStream;
}

PayloadCompressor::PayloadCompressor()
  : mStream(new z_stream())
{
  // A negative window size selects raw data without a header.
  const int result = deflateInit2(mStream.get(),
                                  Z_DEFAULT_COMPRESSION,
                                  Z_DEFLATED,
                                  -PayloadDecompressor::kWindowBits,
                                  kMemoryLevel,
                                  Z_DEFAULT_STRATEGY);
  VERIFY(result == Z_OK);
}

std::string
PayloadCompressor::Compress(std::string_view aPayload)
{
  if (aPayload.empty()) {
    // zlib has nothing to flush.
    return "";
  }
  // zlib does not modify its input, but declares it without const.
  mStream->next_in =
    const_cast<Bytef*>(reinterpret_cast<const Bytef*>(aPayload.data()));
  mStream->avail_in = static_cast<uInt>(aPayload.size());
  std::string compressed;
  std::array<char, kChunkBytes> chunk{};
  do {
    mStream->next_out = reinterpret_cast<Bytef*>(chunk.data());
    mStream->avail_out = static_cast<uInt>(chunk.size());
    const int result = deflate(mStream.get(), Z_SYNC_FLUSH);
    VERIFY(result == Z_OK || result == Z_BUF_ERROR);
    compressed.append(chunk.data(), chunk.size() - mStream->avail_out);
  } while (mStream->avail_out == 0);
  // The marker that ends each flush is the same for all payloads.
  const std::string_view marker = PayloadDecompressor::kFlushMarker;
  VERIFY(compressed.ends_with(marker));
  compressed.resize(compressed.size() - marker.size());
  return compressed;
}

} // namespace verbenachute
