#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace verbenachute {

/// Purpose of an attempt at a target.
enum class AttemptPurpose
{
  /// The first attempt of a part, which takes nothing from the budget.
  First,
  /// A second target is sent the request while the first may still answer.
  /// Hedges leave a reserve for retries.
  Hedge,
  /// The first attempt has failed.
  Retry,
};

/// Limits on attempts beyond the first, over all nodes.
struct AttemptBudgetLimits
{
  /// Extra attempts per request for the service.
  double mRatio = 0.2;
  /// Extra attempts per window in addition to the ratio, over all nodes.
  double mSlack = 0;
  Duration mWindow = seconds(10);
};

/// Budget of one service for hedges and retries. Each node applies the ratio to
/// its own requests, and the slack is divided among the nodes, so that the sums
/// over all nodes stay within the limits in every window.
class AttemptBudget
{
public:
  explicit AttemptBudget(const AttemptBudgetLimits& aLimits);

  /// Changes the limits. The window stays the one given to the constructor.
  void SetLimits(double aRatio, double aSlack);

  void OnRequest(Instant aNow);
  /// Takes one extra attempt from the budget; false if there is none left.
  /// aNodes is the number of nodes that may be spending at the same time; 0
  /// counts as 1.
  [[nodiscard]] bool TryAcquire(AttemptPurpose aPurpose,
                                std::size_t aNodes,
                                Instant aNow);

private:
  /// Buckets of the window, and one more, so that a sliding window whose edges
  /// lie within buckets is covered completely.
  static constexpr std::size_t kBuckets = 21;

  struct Bucket
  {
    std::int64_t mBucketNumber = -1;
    std::uint32_t mRequestCount = 0;
    std::uint32_t mExtraAttempts = 0;
  };

  [[nodiscard]] Bucket& BucketAt(Instant aNow);
  [[nodiscard]] std::int64_t BucketNumberAt(Instant aNow) const;

  AttemptBudgetLimits mLimits;
  std::array<Bucket, kBuckets> mBuckets{};
};

} // namespace verbenachute
