#include <LibConfiguration/BackoffSchedule.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>

namespace verbenachute {

namespace {

/// Further doublings would exceed every limit.
constexpr std::uint32_t kLargestExponent = 16;

} // namespace

BackoffSchedule::BackoffSchedule(NodeName aSelf,
                                 Duration aFirst,
                                 Duration aLongest)
  : mSelf(std::move(aSelf))
  , mFirst(aFirst)
  , mLongest(aLongest)
{
}

Duration
BackoffSchedule::OnFailure()
{
  const std::uint32_t exponent = std::min(mFailures, kLargestExponent);
  ++mFailures;
  return Spread(std::min(mFirst * (std::int64_t(1) << exponent), mLongest));
}

Duration
BackoffSchedule::Spread(Duration aDuration)
{
  ++mDraws;
  const std::uint64_t weight =
    RendezvousWeight(std::to_string(mDraws), mSelf.value());
  constexpr std::int64_t kParts = 1'000;
  const std::int64_t part = static_cast<std::int64_t>(weight % kParts);
  return aDuration / 2 + aDuration * part / kParts;
}

} // namespace verbenachute
