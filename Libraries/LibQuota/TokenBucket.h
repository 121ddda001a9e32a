#pragma once

#include <LibCore/Time.h>

namespace verbenachute {

/// Limits of a token bucket.
struct BucketLimits
{
  /// Tokens per second.
  double mRate = 0;
  /// Maximum number of tokens in the bucket.
  double mDepth = 0;

  friend bool operator==(const BucketLimits&, const BucketLimits&) = default;
};

/// Grants tokens at a limited rate. Callers that are denied one are told
/// different times to return, so that they do not all return at once.
class TokenBucket
{
public:
  /// aLevel is the number of tokens at the start.
  TokenBucket(const BucketLimits& aLimits, double aLevel, Instant aNow);

  /// Changes the limits from now on; tokens beyond the new depth are dropped.
  void SetLimits(const BucketLimits& aLimits, Instant aNow);
  /// Takes a token if there is one.
  [[nodiscard]] bool TryTake(Instant aNow);
  /// Time until a caller that is denied now should find a token. Each call
  /// reserves a later time, up to kMaximumWait.
  [[nodiscard]] Duration ReserveWait(Instant aNow);

  /// Longest time that a caller is told to wait.
  static constexpr Duration kMaximumWait = seconds(5);

private:
  [[nodiscard]] double LevelAt(Instant aNow) const;

  BucketLimits mLimits;
  double mLevel;
  Instant mUpdated;
  /// The time after the last one that was told to a caller.
  Instant mNextReservation;
};

} // namespace verbenachute
