#include <LibOnce/OnceTable.h>

#include <LibCore/Verify.h>
#include <LibOnce/OnceOutcome.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

OnceDecision
Refuse(const OnceRequest& aRequest,
       OnceRefusalReason aReason,
       ErrorCode aCode,
       Execution aExecution,
       const char* aMessage)
{
  return OnceRefuse{
    aReason,
    OnceRefusal(aRequest.mKey.mRequest, aCode, aExecution, "", aMessage)
  };
}

OnceDecision
RefuseFull(const OnceRequest& aRequest)
{
  return Refuse(aRequest,
                OnceRefusalReason::Full,
                ErrorCode::Overloaded,
                Execution::NotRun,
                "this node takes no new request under this ticket; ask for "
                "addresses and a new ticket");
}

} // namespace

OnceTable::OnceTable(NodeIdentity aSelf, Settings aSettings, Instant aNow)
  : mSettings(aSettings)
  , mTickets(std::move(aSelf), aSettings.mTickets, aNow)
{
}

NodeIdentity
OnceTable::CurrentTicket(Instant aNow)
{
  return mTickets.Current(aNow);
}

Duration
OnceTable::TicketValidity() const
{
  return mTickets.Validity();
}

OnceDecision
OnceTable::Decide(const OnceRequest& aRequest, Instant aNow)
{
  if (!aRequest.mTicket) {
    return Refuse(aRequest,
                  OnceRefusalReason::MissingTicket,
                  ErrorCode::InvalidInput,
                  Execution::NotRun,
                  "a non-idempotent request needs the ticket of an address "
                  "answer");
  }
  if (aRequest.mTicket->mName != mTickets.Self().mName) {
    if (aRequest.mOrigin == OnceOrigin::Caller) {
      return OnceRelayTo{ *aRequest.mTicket };
    }
    return Refuse(aRequest,
                  OnceRefusalReason::Misrouted,
                  ErrorCode::OutcomeUnknown,
                  Execution::OutcomeUnknown,
                  "the ticket names another node");
  }
  Forget(aNow);
  const TicketIssuer::Standing standing =
    mTickets.StandingOf(*aRequest.mTicket, aNow);
  if (standing == TicketIssuer::Standing::Unknown) {
    // An earlier life may have run it, whatever is known of this request id.
    return Refuse(aRequest,
                  OnceRefusalReason::TicketUnknown,
                  ErrorCode::TicketExpired,
                  Execution::OutcomeUnknown,
                  "the ticket has run out or is of an earlier life of this "
                  "node; the request is not run again");
  }
  const auto known = mEntries.find(aRequest.mKey);
  if (known != mEntries.end()) {
    return DecideKnown(aRequest, known->second, standing, aNow);
  }
  return DecideNew(aRequest, standing, aNow);
}

OnceDecision
OnceTable::DecideNew(const OnceRequest& aRequest,
                     TicketIssuer::Standing aStanding,
                     Instant aNow)
{
  if (aStanding == TicketIssuer::Standing::Closed) {
    return RefuseFull(aRequest);
  }
  if (!HasRoomFor(aRequest.mKey)) {
    // Another sending of this request must not run once there is room
    // again, so "not run" is said of all new requests under these tickets.
    mTickets.CloseIssued();
    return RefuseFull(aRequest);
  }
  Entry& entry = mEntries[aRequest.mKey];
  return Run(aRequest, entry, aNow);
}

OnceDecision
OnceTable::DecideKnown(const OnceRequest& aRequest,
                       Entry& aEntry,
                       TicketIssuer::Standing aStanding,
                       Instant aNow)
{
  if (aEntry.mFingerprint != aRequest.mFingerprint) {
    return Refuse(aRequest,
                  OnceRefusalReason::Conflict,
                  ErrorCode::Conflict,
                  Execution::NotRun,
                  "the request id stands for another request");
  }
  if (aEntry.mPhase == Phase::Running) {
    return Join(aRequest, aEntry, aNow);
  }
  if (aStanding == TicketIssuer::Standing::Open &&
      MayRunAgain(aRequest, aEntry)) {
    return Run(aRequest, aEntry, aNow);
  }
  return OnceReplay{ aEntry.mOutcome };
}

// A caller that was told "not run" may send the request again under a newer
// ticket. Under the same ticket it may not run, since a sending that was
// still on its way would then make "not run" false.
bool
OnceTable::MayRunAgain(const OnceRequest& aRequest, const Entry& aEntry) const
{
  return ExecutionOf(aEntry.mOutcome) == Execution::NotRun &&
         aRequest.mTicket->mIncarnation > aEntry.mTicket.mIncarnation;
}

OnceDecision
OnceTable::Run(const OnceRequest& aRequest, Entry& aEntry, Instant aNow)
{
  VERIFY(aEntry.mWaiters.empty());
  mBytes -= aEntry.mBytes;
  aEntry.mFingerprint = aRequest.mFingerprint;
  aEntry.mPhase = Phase::Running;
  aEntry.mBytes = sizeof(Entry) + aRequest.mKey.mCaller.value().size() +
                  aRequest.mKey.mRequest.value().size();
  mBytes += aEntry.mBytes;
  ++mRunning;
  Extend(*aRequest.mTicket, aRequest.mKey, aEntry);
  Join(aRequest, aEntry, aNow);
  return OnceRun{ aRequest.mKey };
}

OnceDecision
OnceTable::Join(const OnceRequest& aRequest, Entry& aEntry, Instant aNow)
{
  if (aEntry.mWaiters.size() >= mSettings.mMaxWaiters) {
    return Refuse(aRequest,
                  OnceRefusalReason::TooManyWaiters,
                  ErrorCode::Overloaded,
                  Execution::OutcomeUnknown,
                  "the request runs and too many of its sendings wait");
  }
  const Instant deadline = aNow + aRequest.mTimeLeft;
  aEntry.mWaiters.push_back(Waiter{ aRequest.mWaiter, deadline });
  mDeadlines.emplace(deadline, aRequest.mKey, aRequest.mWaiter);
  return OnceJoin{};
}

bool
OnceTable::HasRoomFor(const OnceKey& aKey) const
{
  const std::size_t bytes =
    sizeof(Entry) + aKey.mCaller.value().size() + aKey.mRequest.value().size();
  return mEntries.size() < mSettings.mMaxEntries &&
         mBytes + bytes <= mSettings.mMaxBytes;
}

// Keeps the entry until the ticket has run out.
void
OnceTable::Extend(const NodeIdentity& aTicket,
                  const OnceKey& aKey,
                  Entry& aEntry)
{
  const std::optional<Instant> end = mTickets.RunsOutAt(aTicket);
  VERIFY(end.has_value());
  mForgetQueue.erase({ aEntry.mForgetAt, aKey });
  aEntry.mTicket = aTicket;
  aEntry.mForgetAt = *end;
  mForgetQueue.emplace(aEntry.mForgetAt, aKey);
}

std::vector<WaiterId>
OnceTable::Finish(const OnceKey& aKey,
                  const QueryOutcome& aOutcome,
                  Instant aNow)
{
  const auto found = mEntries.find(aKey);
  VERIFY(found != mEntries.end());
  Entry& entry = found->second;
  VERIFY(entry.mPhase == Phase::Running);
  entry.mPhase = Phase::Done;
  --mRunning;
  Keep(aKey, entry, aOutcome);
  std::vector<WaiterId> waiters;
  for (const Waiter& waiter : entry.mWaiters) {
    waiters.push_back(waiter.mId);
    mDeadlines.erase({ waiter.mDeadline, aKey, waiter.mId });
  }
  entry.mWaiters.clear();
  Forget(aNow);
  return waiters;
}

void
OnceTable::Keep(const OnceKey& aKey,
                Entry& aEntry,
                const QueryOutcome& aOutcome)
{
  const std::size_t bytes = OutcomeBytes(aOutcome);
  if (bytes <= mSettings.mMaxOutcomeBytes &&
      mBytes + bytes <= mSettings.mMaxBytes) {
    aEntry.mOutcome = aOutcome;
    aEntry.mBytes += bytes;
    mBytes += bytes;
    return;
  }
  aEntry.mOutcome = WithoutAnswer(aKey.mRequest, aOutcome);
}

std::vector<WaiterId>
OnceTable::Tick(Instant aNow)
{
  std::vector<WaiterId> late;
  while (!mDeadlines.empty() && std::get<0>(*mDeadlines.begin()) <= aNow) {
    const auto [deadline, key, waiter] = *mDeadlines.begin();
    late.push_back(waiter);
    DropWaiter(key, waiter);
  }
  Forget(aNow);
  return late;
}

void
OnceTable::DropWaiter(const OnceKey& aKey, WaiterId aWaiter)
{
  const auto entry = mEntries.find(aKey);
  if (entry == mEntries.end()) {
    return;
  }
  std::erase_if(entry->second.mWaiters, [&](const Waiter& aCandidate) {
    if (aCandidate.mId != aWaiter) {
      return false;
    }
    mDeadlines.erase({ aCandidate.mDeadline, aKey, aWaiter });
    return true;
  });
}

void
OnceTable::RefuseNew()
{
  mTickets.End();
}

void
OnceTable::Forget(Instant aNow)
{
  for (auto it = mForgetQueue.begin();
       it != mForgetQueue.end() && it->first <= aNow;) {
    const auto entry = mEntries.find(it->second);
    VERIFY(entry != mEntries.end());
    if (entry->second.mPhase == Phase::Running) {
      // Its outcome still has waiters; Finish forgets it.
      ++it;
      continue;
    }
    mBytes -= entry->second.mBytes;
    mEntries.erase(entry);
    it = mForgetQueue.erase(it);
  }
}

} // namespace verbenachute
