#include <LibQuery/AttemptTable.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

void
AttemptTable::Add(Attempt aAttempt)
{
  VERIFY(mAttempts.empty() || mAttempts.back().mId < aAttempt.mId);
  VERIFY(aAttempt.mState == AttemptState::Open);
  mAttempts.push_back(std::move(aAttempt));
}

Attempt*
AttemptTable::Find(AttemptId aId)
{
  const auto position = std::lower_bound(
    mAttempts.begin(),
    mAttempts.end(),
    aId,
    [](const Attempt& aLeft, AttemptId aRight) { return aLeft.mId < aRight; });
  if (position == mAttempts.end() || position->mId != aId) {
    return nullptr;
  }
  return &*position;
}

void
AttemptTable::Close(Attempt& aAttempt, Execution aExecution)
{
  VERIFY(aAttempt.mState == AttemptState::Open);
  aAttempt.mState = AttemptState::Closed;
  aAttempt.mExecution = aExecution;
}

template<typename Predicate>
std::vector<AttemptId>
AttemptTable::OpenWhere(Predicate aPredicate) const
{
  std::vector<AttemptId> open;
  for (const Attempt& attempt : mAttempts) {
    if (attempt.mState == AttemptState::Open && aPredicate(attempt)) {
      open.push_back(attempt.mId);
    }
  }
  return open;
}

std::vector<AttemptId>
AttemptTable::OpenAttempts() const
{
  return OpenWhere([](const Attempt&) { return true; });
}

std::vector<AttemptId>
AttemptTable::OpenAttemptsOf(ShardId aShard) const
{
  return OpenWhere(
    [aShard](const Attempt& aAttempt) { return aAttempt.mShard == aShard; });
}

std::vector<AttemptId>
AttemptTable::OpenAttemptsAt(const TargetName& aTarget) const
{
  return OpenWhere([&aTarget](const Attempt& aAttempt) {
    return aAttempt.mTarget == aTarget;
  });
}

Execution
AttemptTable::Summary() const
{
  Execution summary = Execution::NotRun;
  for (const Attempt& attempt : mAttempts) {
    if (attempt.mExecution == Execution::OutcomeUnknown) {
      return Execution::OutcomeUnknown;
    }
    if (attempt.mExecution == Execution::Ran) {
      summary = Execution::Ran;
    }
  }
  return summary;
}

} // namespace verbenachute
