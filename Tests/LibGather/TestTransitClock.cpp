#include <LibGather/TransitClock.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Duration kOrigin = seconds(900);
constexpr Instant kStart(seconds(10));

Duration
WaitedAfter(TransitClock* aClock, Duration aSentAt, Duration aWay)
{
  return aClock->Waited(kOrigin + aSentAt, kStart + aSentAt + aWay);
}

} // namespace

TEST_CASE("A message that lay unread counts what it waited")
{
  TransitClock clock;
  CHECK(WaitedAfter(&clock, milliseconds(0), milliseconds(3)) == Duration(0));
  CHECK(WaitedAfter(&clock, milliseconds(100), milliseconds(2)) == Duration(0));
  CHECK(WaitedAfter(&clock, milliseconds(200), milliseconds(1402)) ==
        milliseconds(1400));
  CHECK(WaitedAfter(&clock, milliseconds(1500), milliseconds(3)) ==
        milliseconds(1));
}

TEST_CASE("The first message of a link is taken as the fastest")
{
  TransitClock clock;
  CHECK(WaitedAfter(&clock, milliseconds(0), seconds(9)) == Duration(0));
}

TEST_CASE("A clock that stood still is followed within two windows")
{
  TransitClock clock;
  CHECK(WaitedAfter(&clock, milliseconds(0), milliseconds(2)) == Duration(0));
  // The sender's VM was suspended for 3 s: its clock is behind from now on.
  Duration waited{ 0 };
  for (int i = 0; i < 120; ++i) {
    const Duration at = milliseconds(100 * i);
    waited = clock.Waited(kOrigin + at, kStart + at + seconds(3));
  }
  CHECK(waited == Duration(0));
}

} // namespace verbenachute
