#include <LibOnce/OnceRelay.h>

#include <LibCore/Verify.h>
#include <LibOnce/OnceOutcome.h>

#include <utility>

namespace verbenachute {

namespace {

const RequestId&
RequestOf(const QueryOutcome& aOutcome)
{
  return std::visit(
    [](const auto& aAlternative) -> const RequestId& {
      return aAlternative.mRequest;
    },
    aOutcome);
}

} // namespace

OnceRelay::OnceRelay(RequestId aRequest,
                     NodeIdentity aTicket,
                     Instant aDeadline)
  : mRequest(std::move(aRequest))
  , mTicket(std::move(aTicket))
  , mDeadline(aDeadline)
{
}

RelayAction
OnceRelay::Start(const std::optional<NodeIdentity>& aHome,
                 HomeLink aLink,
                 Instant aNow)
{
  VERIFY(mPhase == Phase::New);
  if (aNow >= mDeadline) {
    return AnswerUnknown(ErrorCode::DeadlinePassed,
                         "the deadline passed before the request was relayed");
  }
  if (!aHome || aHome->mIncarnation > mTicket.mIncarnation) {
    // A life that began after the ticket was issued never ran the request,
    // and the life that may have run it is gone.
    return AnswerUnknown(ErrorCode::TicketExpired,
                         "the node of the ticket is gone; the request is not "
                         "run again");
  }
  VERIFY(aHome->mName == mTicket.mName);
  if (aLink == HomeLink::Absent) {
    return AnswerUnknown(ErrorCode::Unreachable,
                         "the node of the ticket is not reached");
  }
  mPhase = Phase::Sent;
  return RelaySend{ *aHome };
}

RelayAction
OnceRelay::OnReply(const QueryOutcome& aOutcome)
{
  if (mPhase != Phase::Sent || RequestOf(aOutcome) != mRequest) {
    return RelayWait{};
  }
  return Answer(aOutcome);
}

RelayAction
OnceRelay::OnLinkLost()
{
  if (mPhase != Phase::Sent) {
    return RelayWait{};
  }
  return AnswerUnknown(ErrorCode::OutcomeUnknown,
                       "the node of the ticket was lost before it answered");
}

RelayAction
OnceRelay::Tick(Instant aNow)
{
  if (mPhase == Phase::Answered || aNow < mDeadline) {
    return RelayWait{};
  }
  return AnswerUnknown(ErrorCode::DeadlinePassed,
                       "the node of the ticket did not answer in time");
}

RelayAction
OnceRelay::Answer(QueryOutcome aOutcome)
{
  VERIFY(mPhase != Phase::Answered);
  mPhase = Phase::Answered;
  return RelayAnswer{ std::move(aOutcome) };
}

RelayAction
OnceRelay::AnswerUnknown(ErrorCode aCode, const char* aMessage)
{
  return Answer(OnceRefusal(mRequest,
                            aCode,
                            Execution::OutcomeUnknown,
                            mTicket.mName.value(),
                            aMessage));
}

} // namespace verbenachute
