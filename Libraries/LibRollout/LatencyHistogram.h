#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace verbenachute {

/// Number of responses by latency. Each bucket is a half octave wide.
class LatencyHistogram
{
public:
  static constexpr std::size_t kBuckets = 32;

  void Add(Duration aLatency);
  void Add(const LatencyHistogram& aOther);
  /// Sets a bucket, for codecs.
  void Set(std::size_t aBucket, std::uint64_t aCount);

  [[nodiscard]] std::uint64_t At(std::size_t aBucket) const
  {
    return mCounts[aBucket];
  }
  [[nodiscard]] std::uint64_t Total() const;
  /// Bucket of the median; 0 without any responses.
  [[nodiscard]] std::size_t MedianBucket() const;
  /// Number of responses in the bucket and those above it.
  [[nodiscard]] std::uint64_t From(std::size_t aBucket) const;

  friend bool operator==(const LatencyHistogram&,
                         const LatencyHistogram&) = default;

private:
  std::array<std::uint64_t, kBuckets> mCounts{};
};

} // namespace verbenachute
