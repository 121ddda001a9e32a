#include <LibDispatch/ColdStartRamp.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr std::uint32_t kSlots = 2;

void
Succeed(ColdStartRamp& aRamp, int aCount, Instant* aNow)
{
  for (int number = 0; number < aCount; ++number) {
    *aNow += milliseconds(10);
    aRamp.OnSuccess(*aNow, *aNow, kSlots);
  }
}

} // namespace

// A target that counts as cold gets little work, is no replica to hedge with,
// and is slow to count as warm again, so one straggler must not do it.
TEST_CASE("One slow answer lowers the limit but makes no target cold")
{
  Instant now(seconds(1));
  ColdStartRamp ramp;
  ramp.Reset(now);
  CHECK(ramp.WarmthAt(kSlots) == Warmth::Cold);
  Succeed(ramp, 4, &now);
  CHECK(ramp.WarmthAt(kSlots) == Warmth::Warm);

  now += milliseconds(10);
  ramp.OnStrain(now, now);
  CHECK(ramp.Limit(kSlots) == 1);
  CHECK(ramp.WarmthAt(kSlots) == Warmth::Warm);

  now += milliseconds(10);
  ramp.OnStrain(now, now);
  CHECK(ramp.Limit(kSlots) == 1);
  CHECK(ramp.WarmthAt(kSlots) == Warmth::Cold);

  Succeed(ramp, 4, &now);
  CHECK(ramp.WarmthAt(kSlots) == Warmth::Warm);
  ramp.Reset(now);
  CHECK(ramp.WarmthAt(kSlots) == Warmth::Cold);
}

} // namespace verbenachute
