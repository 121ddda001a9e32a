#include <LibGather/TransitDelayEstimator.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Duration kSenderOrigin = seconds(900);
constexpr Instant kStart(seconds(10));

Duration
WaitedAfter(TransitDelayEstimator* aClock,
            Duration aSentTime,
            Duration aTransit)
{
  return aClock->ExcessDelay(kSenderOrigin + aSentTime,
                             kStart + aSentTime + aTransit);
}

} // namespace

TEST_CASE("The time for which a message lay unread is counted")
{
  TransitDelayEstimator clock;
  CHECK(WaitedAfter(&clock, milliseconds(0), milliseconds(3)) == Duration(0));
  CHECK(WaitedAfter(&clock, milliseconds(100), milliseconds(2)) == Duration(0));
  CHECK(WaitedAfter(&clock, milliseconds(200), milliseconds(1402)) ==
        milliseconds(1400));
  CHECK(WaitedAfter(&clock, milliseconds(1500), milliseconds(3)) ==
        milliseconds(1));
}

TEST_CASE("The first message of a link counts as the fastest")
{
  TransitDelayEstimator clock;
  CHECK(WaitedAfter(&clock, milliseconds(0), seconds(9)) == Duration(0));
}

TEST_CASE("A jump of the sender's clock is corrected within two windows")
{
  TransitDelayEstimator clock;
  CHECK(WaitedAfter(&clock, milliseconds(0), milliseconds(2)) == Duration(0));
  // The sender's VM was suspended for 3 s: its clock lags behind from now on.
  Duration waited{ 0 };
  for (int i = 0; i < 120; ++i) {
    const Duration sent = milliseconds(100 * i);
    waited =
      clock.ExcessDelay(kSenderOrigin + sent, kStart + sent + seconds(3));
  }
  CHECK(waited == Duration(0));
}

} // namespace verbenachute
