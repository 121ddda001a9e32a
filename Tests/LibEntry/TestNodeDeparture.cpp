#include <LibEntry/NodeDeparture.h>
#include <LibEntry/RemovalDelay.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Instant kStart{ seconds(50) };
constexpr NodeDeparture::Settings kSettings{ seconds(6), seconds(1) };
const TargetName kTarget("t");

} // namespace

TEST_CASE(
  "A node that stops keeps serving until callers no longer use its address")
{
  NodeDeparture departure(kSettings);
  CHECK(departure.Advance(3, 0, kStart) == DeparturePhase::Serving);
  departure.OnStop(kStart);
  CHECK(departure.Advance(3, 2, kStart) == DeparturePhase::Announced);
  CHECK(departure.Advance(0, 0, kStart + seconds(3)) ==
        DeparturePhase::Announced);
  CHECK(departure.Advance(1, 1, kStart + milliseconds(3400)) ==
        DeparturePhase::Closing);
  CHECK(departure.Advance(0, 0, kStart + milliseconds(3500)) ==
        DeparturePhase::Done);
}

TEST_CASE(
  "A node that stops exits before the grace time ends, even with work left")
{
  NodeDeparture departure(kSettings);
  departure.OnStop(kStart);
  CHECK(departure.Advance(1, 1, kStart + milliseconds(5500)) ==
        DeparturePhase::Closing);
  CHECK(departure.Advance(1, 1, kStart + milliseconds(5700)) ==
        DeparturePhase::Done);
}

TEST_CASE("Outside outages a removal takes effect at once")
{
  RemovalDelay delay;
  CHECK(delay.OnRemoved(kTarget, std::nullopt, std::nullopt, kStart) ==
        RemovalDelay::Verdict::RemoveNow);
  CHECK(delay.OnRemoved(kTarget, std::nullopt, kStart - seconds(10), kStart) ==
        RemovalDelay::Verdict::RemoveNow);
}

TEST_CASE("Around an outage a target may come back before it is removed")
{
  RemovalDelay delay;
  const Instant restored = kStart - milliseconds(100);
  CHECK(delay.OnRemoved(kTarget, std::nullopt, restored, kStart) ==
        RemovalDelay::Verdict::Delayed);
  CHECK(delay.TakeDue(kStart + seconds(2)).empty());
  SUBCASE("it is back")
  {
    delay.OnListed(kTarget);
    CHECK(delay.TakeDue(kStart + seconds(9)).empty());
  }
  SUBCASE("it does not come back")
  {
    CHECK(delay.TakeDue(kStart + milliseconds(2500)) == std::vector{ kTarget });
    CHECK(delay.TakeDue(kStart + seconds(9)).empty());
  }
}

} // namespace verbenachute
