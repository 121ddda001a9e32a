#include <LibLease/RosterReadSchedule.h>

#include <algorithm>

namespace verbenachute {

namespace {

constexpr Duration kInterval = seconds(2);
// Bounds the reads of a node that is told of an epoch which the store does
// not give yet.
constexpr Duration kShortestInterval = milliseconds(100);

} // namespace

void
RosterReadSchedule::OnReadStarted(Instant aNow)
{
  mProgress = Progress::Reading;
  mStarted = aNow;
}

void
RosterReadSchedule::OnRead(RosterEpoch aEpoch)
{
  mProgress = Progress::Idle;
  mRead = std::max(mRead, aEpoch);
}

void
RosterReadSchedule::OnReadFailed()
{
  mProgress = Progress::Idle;
}

void
RosterReadSchedule::OnToldEpoch(RosterEpoch aEpoch)
{
  mTold = std::max(mTold, aEpoch);
}

Instant
RosterReadSchedule::NextRead() const
{
  const bool isUrgent = mProgress == Progress::Idle && mTold > mRead;
  return mStarted + (isUrgent ? kShortestInterval : kInterval);
}

} // namespace verbenachute
