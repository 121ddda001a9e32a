#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace verbenachute {

/// What one mechanism costs at one size.
struct Sample
{
  std::size_t mSize = 0;
  /// Processor time of one operation, the median of several repetitions.
  double mNanoseconds = 0;
  /// Bytes of the message or state that belong to the operation.
  double mBytes = 0;
};

/// One mechanism of the product, measured at several sizes.
struct Measurement
{
  std::string mMechanism;
  /// What mSize counts and what one operation is.
  std::string mSizeMeaning;
  std::string mOperation;
  std::vector<Sample> mSamples;
};

/// Median processor time in nanoseconds of one of aOperations operations
/// that aRun carries out.
[[nodiscard]] double
MedianNanoseconds(std::size_t aOperations, const std::function<void()>& aRun);

} // namespace verbenachute
