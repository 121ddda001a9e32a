#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace verbenachute {

/// What an extra attempt is for.
enum class ExtraUse
{
  /// A second target is asked while the first still works; it leaves a
  /// reserve for retries.
  Hedge,
  /// The first attempt has failed.
  Retry,
};

/// The bound on attempts beyond the first, over all nodes.
struct ExtraLimits
{
  /// Extra attempts for each request for the service.
  double mRatio = 0.2;
  /// Extra attempts in each window on top of that, over all nodes.
  double mSlack = 0;
  Duration mWindow = seconds(10);
};

/// Pays for hedges and retries at one service. The ratio is kept by each node
/// for its own requests, the slack is shared out between the nodes, so that
/// the sums over all nodes stay within the limits in every window.
class ExtraBudget
{
public:
  explicit ExtraBudget(const ExtraLimits& aLimits);

  /// The window of a budget stays as it was made.
  void SetLimits(double aRatio, double aSlack);

  void OnRequest(Instant aNow);
  /// Takes one extra attempt, if there is one. aNodes counts the nodes that
  /// may be spending at the same time; at least 1.
  [[nodiscard]] bool Take(ExtraUse aUse, std::size_t aNodes, Instant aNow);

private:
  /// Buckets of the window; one more than it holds, so that a window that
  /// slides between their edges is covered too.
  static constexpr std::size_t kBuckets = 21;

  struct Bucket
  {
    std::int64_t mNumber = -1;
    std::uint32_t mRequests = 0;
    std::uint32_t mExtras = 0;
  };

  [[nodiscard]] Bucket& Current(Instant aNow);
  [[nodiscard]] std::int64_t NumberOf(Instant aNow) const;

  ExtraLimits mLimits;
  std::array<Bucket, kBuckets> mBuckets{};
};

} // namespace verbenachute
