#include <LibDispatch/WorkTable.h>

#include <LibCore/Verify.h>

namespace verbenachute {

namespace {

/// How long a non-idempotent sub-query is known after its end.
constexpr Duration kMemoryOfEnded = seconds(30);
constexpr std::size_t kMaxEnded = 16384;

} // namespace

Work&
WorkTable::Insert(const SubQuery& aSubQuery,
                  const NodeIdentity& aOrigin,
                  Instant aNow)
{
  const DispatchId id(++mLastId);
  Work work;
  work.mId = id;
  work.mOrigin = aOrigin;
  work.mSubQuery = aSubQuery;
  work.mArrival = aNow;
  work.mDeadline = aNow + aSubQuery.mTimeLeft;
  mByOrigin[Origin(aOrigin, aSubQuery.mAttempt)] = id;
  Work& inserted = mWork.emplace(id, std::move(work)).first->second;
  SetTimer(id, inserted.mDeadline);
  return inserted;
}

bool
WorkTable::IsKnown(const NodeIdentity& aOrigin, AttemptId aAttempt) const
{
  const Origin origin(aOrigin, aAttempt);
  return mByOrigin.contains(origin) || mEnded.contains(origin);
}

Work*
WorkTable::Find(DispatchId aId)
{
  const auto work = mWork.find(aId);
  return work == mWork.end() ? nullptr : &work->second;
}

const Work*
WorkTable::Find(DispatchId aId) const
{
  const auto work = mWork.find(aId);
  return work == mWork.end() ? nullptr : &work->second;
}

std::optional<DispatchId>
WorkTable::FindAttempt(const NodeIdentity& aOrigin, AttemptId aAttempt) const
{
  const auto found = mByOrigin.find(Origin(aOrigin, aAttempt));
  if (found == mByOrigin.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<DispatchId>
WorkTable::OfQuery(const NodeIdentity& aOrigin, QueryId aQuery) const
{
  std::vector<DispatchId> ids;
  auto entry = mByOrigin.lower_bound(Origin(aOrigin, AttemptId(0)));
  for (; entry != mByOrigin.end() && entry->first.first == aOrigin; ++entry) {
    if (mWork.at(entry->second).mSubQuery.mQuery == aQuery) {
      ids.push_back(entry->second);
    }
  }
  return ids;
}

void
WorkTable::Erase(DispatchId aId, Instant aNow)
{
  const auto work = mWork.find(aId);
  VERIFY(work != mWork.end());
  VERIFY(work->second.mSlot == Slot::Free);
  const Origin origin(work->second.mOrigin, work->second.mSubQuery.mAttempt);
  if (work->second.mSubQuery.mIdempotency == Idempotency::NonIdempotent) {
    RememberEnded(origin, aNow);
  }
  mByOrigin.erase(origin);
  mWork.erase(work);
  const auto timer = mTimers.find(aId);
  if (timer != mTimers.end()) {
    mTimerOrder.erase({ timer->second, aId });
    mTimers.erase(timer);
  }
}

void
WorkTable::RememberRefused(const SubQuery& aSubQuery,
                           const NodeIdentity& aOrigin,
                           Instant aNow)
{
  if (aSubQuery.mIdempotency == Idempotency::NonIdempotent) {
    RememberEnded(Origin(aOrigin, aSubQuery.mAttempt), aNow);
  }
}

void
WorkTable::SetTimer(DispatchId aId, Instant aAt)
{
  const auto timer = mTimers.find(aId);
  if (timer != mTimers.end()) {
    mTimerOrder.erase({ timer->second, aId });
  }
  mTimers[aId] = aAt;
  mTimerOrder.insert({ aAt, aId });
}

std::vector<DispatchId>
WorkTable::TakeDue(Instant aNow)
{
  std::vector<DispatchId> due;
  while (!mTimerOrder.empty() && mTimerOrder.begin()->first <= aNow) {
    const DispatchId id = mTimerOrder.begin()->second;
    mTimerOrder.erase(mTimerOrder.begin());
    mTimers.erase(id);
    due.push_back(id);
  }
  return due;
}

std::optional<Instant>
WorkTable::NextTimer() const
{
  if (mTimerOrder.empty()) {
    return std::nullopt;
  }
  return mTimerOrder.begin()->first;
}

void
WorkTable::RememberEnded(const Origin& aOrigin, Instant aNow)
{
  mEnded.insert(aOrigin);
  mEndedOrder.emplace_back(aNow, aOrigin);
  while (mEndedOrder.size() > kMaxEnded ||
         mEndedOrder.front().first + kMemoryOfEnded <= aNow) {
    mEnded.erase(mEndedOrder.front().second);
    mEndedOrder.pop_front();
  }
}

} // namespace verbenachute
