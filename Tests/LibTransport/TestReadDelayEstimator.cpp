#include <LibTransport/ReadDelayEstimator.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Instant
At(int aMilliseconds)
{
  return Instant(seconds(5) + milliseconds(aMilliseconds));
}

} // namespace

TEST_CASE("After an idle poll bytes waited no longer than the iteration lasts")
{
  ReadDelayEstimator estimator;
  estimator.OnActivity(At(0));
  estimator.OnIterationEnd(At(2));
  estimator.OnActivity(At(40));
  CHECK(estimator.MaximumReadDelay(At(41)) == milliseconds(1));
}

TEST_CASE("Bytes that arrived during a long iteration may have waited for it")
{
  // A node reads a large configuration while callers that were just directed to
  // it wait.
  ReadDelayEstimator estimator;
  estimator.OnActivity(At(0));
  estimator.OnIterationEnd(At(1100));
  estimator.OnActivity(At(1100));
  CHECK(estimator.MaximumReadDelay(At(1105)) == milliseconds(1105));
  estimator.OnIterationEnd(At(1110));
  estimator.OnActivity(At(1110));
  CHECK(estimator.MaximumReadDelay(At(1112)) == milliseconds(12));
}

TEST_CASE("Bytes that arrived while the process did not run waited for it")
{
  ReadDelayEstimator estimator;
  estimator.OnActivity(At(0));
  estimator.OnIterationEnd(At(1));
  estimator.OnActivity(At(3001));
  CHECK(estimator.MaximumReadDelay(At(3002)) == milliseconds(3001));
}

TEST_CASE("The first iteration counts from its own start")
{
  ReadDelayEstimator estimator;
  CHECK(estimator.MaximumReadDelay(At(0)) == Duration(0));
  estimator.OnActivity(At(0));
  CHECK(estimator.MaximumReadDelay(At(7)) == milliseconds(7));
}

} // namespace verbenachute
