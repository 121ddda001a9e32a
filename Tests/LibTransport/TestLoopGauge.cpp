#include <LibTransport/LoopGauge.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Instant
At(int aMilliseconds)
{
  return Instant(seconds(5) + milliseconds(aMilliseconds));
}

} // namespace

TEST_CASE("After a rest bytes are as old as the turn that reads them")
{
  LoopGauge gauge;
  gauge.OnWork(At(0));
  gauge.OnTurnEnd(At(2));
  gauge.OnWork(At(40));
  CHECK(gauge.MaximumReadDelay(At(41)) == milliseconds(1));
}

TEST_CASE("Bytes that came while a turn took long count that turn")
{
  // The pattern of a node that reads a large configuration while callers that
  // were just sent to it wait.
  LoopGauge gauge;
  gauge.OnWork(At(0));
  gauge.OnTurnEnd(At(1100));
  gauge.OnWork(At(1100));
  CHECK(gauge.MaximumReadDelay(At(1105)) == milliseconds(1105));
  gauge.OnTurnEnd(At(1110));
  gauge.OnWork(At(1110));
  CHECK(gauge.MaximumReadDelay(At(1112)) == milliseconds(12));
}

TEST_CASE("Bytes that came while the process did not run count the pause")
{
  LoopGauge gauge;
  gauge.OnWork(At(0));
  gauge.OnTurnEnd(At(1));
  gauge.OnWork(At(3001));
  CHECK(gauge.MaximumReadDelay(At(3002)) == milliseconds(3001));
}

TEST_CASE("The first turn knows of no wait")
{
  LoopGauge gauge;
  CHECK(gauge.MaximumReadDelay(At(0)) == Duration(0));
  gauge.OnWork(At(0));
  CHECK(gauge.MaximumReadDelay(At(7)) == milliseconds(7));
}

} // namespace verbenachute
