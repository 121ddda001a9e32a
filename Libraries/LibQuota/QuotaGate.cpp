#include <LibQuota/QuotaGate.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// A lost datagram is sent again after a few round trips between failure
// domains.
constexpr Duration kRepeatDelay = milliseconds(10);
// An owner that takes longer has probably failed or been suspended.
constexpr Duration kOwnerTimeout = milliseconds(20);
constexpr Duration kDeputyTimeout = milliseconds(30);
// The owner is replaced once the other nodes know of its failure.
constexpr Duration kRetryAfterUnknown = milliseconds(250);
// An unused token counts in the window in which it was granted.
constexpr Duration kSpareLifetime = seconds(1);

} // namespace

bool
QuotaGate::TakeSpare(const TenantName& aTenant, Instant aNow)
{
  const auto found = mSpare.find(aTenant);
  if (found == mSpare.end()) {
    return false;
  }
  std::vector<Instant>& expiries = found->second;
  std::erase_if(expiries,
                [&](const Instant& aExpiry) { return aExpiry <= aNow; });
  const bool hasSpare = !expiries.empty();
  if (hasSpare) {
    expiries.pop_back();
  }
  if (expiries.empty()) {
    mSpare.erase(found);
  }
  return hasSpare;
}

QuotaRequestNumber
QuotaGate::Request(const TenantName& aTenant,
                   QuotaActions* aActions,
                   Instant aNow)
{
  const QuotaRequestNumber number(mNextNumber++);
  if (TakeSpare(aTenant, aNow)) {
    aActions->push_back(
      QuotaDecisionAction{ number, QuotaDecision::Granted, Duration(0) });
    return number;
  }
  Pending pending;
  pending.mTenant = aTenant;
  if (Send(number, &pending, Stage::Owner, aActions, aNow)) {
    mPending.emplace(number, pending);
  } else {
    aActions->push_back(QuotaDecisionAction{
      number, QuotaDecision::Unknown, kRetryAfterUnknown });
  }
  return number;
}

bool
QuotaGate::Send(QuotaRequestNumber aNumber,
                Pending* aPending,
                Stage aStage,
                QuotaActions* aActions,
                Instant aNow)
{
  const std::size_t place = aStage == Stage::Deputy ? 1 : 0;
  const std::optional<NodeName> node = mOwners.At(aPending->mTenant, place);
  if (!node.has_value()) {
    return false;
  }
  const Duration timeout = aStage == Stage::Owner           ? kRepeatDelay
                           : aStage == Stage::OwnerRepeated ? kOwnerTimeout
                                                            : kDeputyTimeout;
  aPending->mStage = aStage;
  aPending->mDue = aNow + timeout;
  mDue.emplace(aPending->mDue, aNumber);
  aActions->push_back(SendQuotaRequestAction{
    *node,
    QuotaRequest{ aNumber,
                  aPending->mTenant,
                  aStage == Stage::Deputy ? QuotaSource::Deputy
                                          : QuotaSource::Owner } });
  return true;
}

void
QuotaGate::Advance(PendingRequests::iterator aPending,
                   QuotaActions* aActions,
                   Instant aNow)
{
  const QuotaRequestNumber number = aPending->first;
  Pending& pending = aPending->second;
  const bool isLastStage =
    pending.mIsCancelled || pending.mStage == Stage::Deputy;
  const Stage next =
    pending.mStage == Stage::Owner ? Stage::OwnerRepeated : Stage::Deputy;
  if (!isLastStage && Send(number, &pending, next, aActions, aNow)) {
    return;
  }
  if (!pending.mIsCancelled) {
    aActions->push_back(QuotaDecisionAction{
      number, QuotaDecision::Unknown, kRetryAfterUnknown });
  }
  mPending.erase(aPending);
}

QuotaActions
QuotaGate::OnReply(const QuotaReply& aReply, Instant aNow)
{
  QuotaActions actions;
  const auto found = mPending.find(aReply.mNumber);
  if (found == mPending.end()) {
    return actions;
  }
  const Pending pending = found->second;
  if (pending.mIsCancelled) {
    if (aReply.mDecision == QuotaDecision::Granted) {
      Return(pending.mTenant, aNow);
    }
  } else {
    actions.push_back(QuotaDecisionAction{
      aReply.mNumber, aReply.mDecision, aReply.mRetryAfter });
  }
  mDue.erase({ pending.mDue, aReply.mNumber });
  mPending.erase(found);
  return actions;
}

void
QuotaGate::Cancel(QuotaRequestNumber aNumber)
{
  const auto found = mPending.find(aNumber);
  if (found != mPending.end()) {
    found->second.mIsCancelled = true;
  }
}

void
QuotaGate::Return(const TenantName& aTenant, Instant aNow)
{
  mSpare[aTenant].push_back(aNow + kSpareLifetime);
}

QuotaActions
QuotaGate::OnTime(Instant aNow)
{
  QuotaActions actions;
  while (!mDue.empty() && mDue.begin()->first <= aNow) {
    const QuotaRequestNumber number = mDue.begin()->second;
    mDue.erase(mDue.begin());
    const auto pending = mPending.find(number);
    if (pending != mPending.end()) {
      Advance(pending, &actions, aNow);
    }
  }
  return actions;
}

std::optional<Instant>
QuotaGate::NextWake() const
{
  return mDue.empty() ? std::nullopt : std::optional(mDue.begin()->first);
}

} // namespace verbenachute
