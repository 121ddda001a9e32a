#include <LibGather/PayloadDecompressor.h>

#include <LibCore/Verify.h>

#include <array>
#include <zlib.h>

namespace verbenachute {

namespace {

constexpr std::size_t kChunkBytes = 4096;

} // namespace

void
PayloadDecompressor::EndStream::operator()(z_stream_s* aStream) const
{
  inflateEnd(aStream);
  delete aStream;
}

PayloadDecompressor::PayloadDecompressor(std::size_t aMaximumBytes)
  : mMaximumBytes(aMaximumBytes)
  , mStream(new z_stream())
{
  VERIFY(inflateInit2(mStream.get(), -kWindowBits) == Z_OK);
}

Result<std::string>
PayloadDecompressor::Decompress(std::string_view aCompressed)
{
  if (aCompressed.empty()) {
    return std::string();
  }
  std::string input(aCompressed);
  input += kFlushMarker;
  mStream->next_in = reinterpret_cast<Bytef*>(input.data());
  mStream->avail_in = static_cast<uInt>(input.size());
  std::string payload;
  std::array<char, kChunkBytes> chunk{};
  int result = Z_OK;
  do {
    mStream->next_out = reinterpret_cast<Bytef*>(chunk.data());
    mStream->avail_out = static_cast<uInt>(chunk.size());
    result = inflate(mStream.get(), Z_SYNC_FLUSH);
    payload.append(chunk.data(), chunk.size() - mStream->avail_out);
  } while (result == Z_OK && payload.size() <= mMaximumBytes &&
           (mStream->avail_in > 0 || mStream->avail_out == 0));
  const bool isComplete =
    (result == Z_OK || result == Z_BUF_ERROR) && mStream->avail_in == 0;
  if (!isComplete || payload.size() > mMaximumBytes) {
    return Error{ Step::Dispatch,
                  ErrorCode::InvalidInput,
                  "",
                  "the compressed payload is corrupt or too large" };
  }
  return payload;
}

} // namespace verbenachute
