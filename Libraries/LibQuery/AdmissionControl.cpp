#include <LibQuery/AdmissionControl.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <iterator>

namespace verbenachute {

namespace {

RefuseQuery
Shed(QueryId aQuery)
{
  return { aQuery,
           { Step::Admission,
             ErrorCode::Overloaded,
             "",
             "too many queries run and wait at this node" } };
}

RefuseQuery
TooLate(QueryId aQuery)
{
  return { aQuery,
           { Step::Admission,
             ErrorCode::DeadlinePassed,
             "",
             "the deadline leaves no time to run the query" } };
}

} // namespace

AdmissionControl::AdmissionControl(AdmissionSettings aSettings)
  : mSettings(std::move(aSettings))
{
  for (const ClassLimits& limits : mSettings.mClasses) {
    mClasses.emplace(limits.mClass, ClassState{ limits });
  }
  mClasses.emplace(mSettings.mOther.mClass, ClassState{ mSettings.mOther });
}

AdmissionActions
AdmissionControl::OnArrival(QueryId aQuery,
                            const CallerClass& aClass,
                            Instant aStartBy,
                            Instant aNow)
{
  ClassState& state = StateOf(aClass);
  if (aNow >= aStartBy) {
    return { TooLate(aQuery) };
  }
  if (HasRoom(state)) {
    Start(aQuery, state);
    return { StartQuery{ aQuery } };
  }
  AdmissionActions actions;
  Enqueue(aQuery, state, aStartBy, actions);
  return actions;
}

AdmissionActions
AdmissionControl::OnFinished(QueryId aQuery, Instant aNow)
{
  const auto running = mRunning.find(aQuery);
  VERIFY(running != mRunning.end());
  VERIFY(running->second->mRunning > 0);
  running->second->mRunning -= 1;
  mRunning.erase(running);

  AdmissionActions actions = OnTimer(aNow);
  auto next = mQueue.begin();
  while (next != mQueue.end() && mRunning.size() < mSettings.mMaximumRunning) {
    ClassState& state = *next->second.mClass;
    if (!HasRoom(state)) {
      ++next;
      continue;
    }
    const QueryId query = next->first.second;
    next = Remove(next);
    Start(query, state);
    actions.emplace_back(StartQuery{ query });
  }
  return actions;
}

void
AdmissionControl::OnWithdrawn(QueryId aQuery)
{
  const auto position =
    std::find_if(mQueue.begin(), mQueue.end(), [aQuery](const auto& aItem) {
      return aItem.first.second == aQuery;
    });
  if (position != mQueue.end()) {
    Remove(position);
  }
}

AdmissionActions
AdmissionControl::OnTimer(Instant aNow)
{
  AdmissionActions actions;
  auto position = mQueue.begin();
  while (position != mQueue.end()) {
    if (position->second.mStartBy > aNow) {
      ++position;
      continue;
    }
    actions.emplace_back(TooLate(position->first.second));
    position = Remove(position);
  }
  return actions;
}

std::optional<Instant>
AdmissionControl::NextWake() const
{
  const auto first = std::min_element(
    mQueue.begin(), mQueue.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mStartBy < aRight.second.mStartBy;
    });
  if (first == mQueue.end()) {
    return std::nullopt;
  }
  return first->second.mStartBy;
}

const CallerClass&
AdmissionControl::CountedClass(const CallerClass& aClass) const
{
  const auto state = mClasses.find(aClass);
  return state == mClasses.end() ? mSettings.mOther.mClass : state->first;
}

AdmissionControl::ClassState&
AdmissionControl::StateOf(const CallerClass& aClass)
{
  return mClasses.at(CountedClass(aClass));
}

bool
AdmissionControl::HasRoom(const ClassState& aClass) const
{
  return mRunning.size() < mSettings.mMaximumRunning &&
         aClass.mRunning < aClass.mLimits.mMaximumRunning;
}

void
AdmissionControl::Start(QueryId aQuery, ClassState& aClass)
{
  VERIFY(HasRoom(aClass));
  aClass.mRunning += 1;
  const bool isNew = mRunning.emplace(aQuery, &aClass).second;
  VERIFY(isNew);
}

void
AdmissionControl::Enqueue(QueryId aQuery,
                          ClassState& aClass,
                          Instant aStartBy,
                          AdmissionActions& aActions)
{
  if (aClass.mQueued >= aClass.mLimits.mMaximumQueued) {
    aActions.emplace_back(Shed(aQuery));
    return;
  }
  const std::int64_t weight = aClass.mLimits.mWeight;
  if (mQueue.size() >= mSettings.mMaximumQueued) {
    if (mQueue.empty() || -mQueue.rbegin()->first.first >= weight) {
      aActions.emplace_back(Shed(aQuery));
      return;
    }
    aActions.emplace_back(Shed(mQueue.rbegin()->first.second));
    Remove(std::prev(mQueue.end()));
  }
  mQueue.emplace(Place(-weight, aQuery), Waiting{ &aClass, aStartBy });
  aClass.mQueued += 1;
}

AdmissionControl::Queue::iterator
AdmissionControl::Remove(Queue::iterator aPosition)
{
  VERIFY(aPosition->second.mClass->mQueued > 0);
  aPosition->second.mClass->mQueued -= 1;
  return mQueue.erase(aPosition);
}

} // namespace verbenachute
