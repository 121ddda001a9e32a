#include <LibLease/RosterReadSchedule.h>

#include <doctest/doctest.h>

namespace verbenachute {

TEST_CASE("A later epoch makes a read due long before a lease lapses")
{
  const Instant start(seconds(100));
  RosterReadSchedule schedule;
  schedule.OnReadStarted(start);
  schedule.OnRead(RosterEpoch(3));
  CHECK(schedule.NextRead() == start + seconds(2));

  schedule.OnToldEpoch(RosterEpoch(2));
  schedule.OnToldEpoch(RosterEpoch(3));
  CHECK(schedule.NextRead() == start + seconds(2));

  schedule.OnToldEpoch(RosterEpoch(4));
  CHECK(schedule.NextRead() <= start + milliseconds(100));

  // One read at a time, however often the epoch is told.
  schedule.OnReadStarted(start + milliseconds(100));
  schedule.OnToldEpoch(RosterEpoch(4));
  CHECK(schedule.NextRead() == start + milliseconds(2100));
  schedule.OnReadFailed();
  CHECK(schedule.NextRead() == start + milliseconds(200));
  schedule.OnReadStarted(start + milliseconds(200));
  schedule.OnRead(RosterEpoch(4));
  CHECK(schedule.NextRead() == start + milliseconds(2200));
}

} // namespace verbenachute
