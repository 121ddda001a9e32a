#include <LibEntry/GracefulShutdown.h>
#include <LibEntry/RemovalDelay.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Instant kStart{ seconds(50) };
constexpr GracefulShutdown::Settings kSettings{ seconds(6), seconds(1) };
const TargetName kTarget("t");

} // namespace

TEST_CASE(
  "A node that stops keeps serving until callers no longer use its address")
{
  GracefulShutdown shutdown(kSettings);
  CHECK(shutdown.Advance(3, 0, kStart) == GracefulShutdownPhase::Serving);
  shutdown.OnStop(kStart);
  CHECK(shutdown.Advance(3, 2, kStart) == GracefulShutdownPhase::Unadvertised);
  CHECK(shutdown.Advance(0, 0, kStart + seconds(3)) ==
        GracefulShutdownPhase::Unadvertised);
  CHECK(shutdown.Advance(1, 1, kStart + milliseconds(3400)) ==
        GracefulShutdownPhase::Closing);
  CHECK(shutdown.Advance(0, 0, kStart + milliseconds(3500)) ==
        GracefulShutdownPhase::Done);
}

TEST_CASE(
  "A node that stops exits before the grace time ends, even with work left")
{
  GracefulShutdown shutdown(kSettings);
  shutdown.OnStop(kStart);
  CHECK(shutdown.Advance(1, 1, kStart + milliseconds(5500)) ==
        GracefulShutdownPhase::Closing);
  CHECK(shutdown.Advance(1, 1, kStart + milliseconds(5700)) ==
        GracefulShutdownPhase::Done);
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
