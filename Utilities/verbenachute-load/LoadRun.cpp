#include "LoadRun.h"

namespace verbenachute::load {

namespace {

/// A request that has no outcome so long after the last arrival is given up.
constexpr Duration kPatience = seconds(15);

} // namespace

LoadRun::LoadRun(standins::EventLoop& aLoop,
                 const LoadSettings& aSettings,
                 QuerySender& aSender)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mSender(aSender)
  , mWorkload(aSettings)
{
  if (!aSettings.mOutcomesFile.empty()) {
    mOutcomes.open(aSettings.mOutcomesFile);
  }
}

void
LoadRun::Start()
{
  mStart = mLoop.Now();
  mNextArrival = mStart;
  ScheduleNext();
}

void
LoadRun::ScheduleNext()
{
  mNextArrival += mWorkload.NextGap();
  if (mNextArrival - mStart > mSettings.mLength) {
    mArrivalsEnded = true;
    mLoop.After(kPatience, [this]() { mLoop.Stop(); });
    StopIfDone();
    return;
  }
  mLoop.After(mNextArrival - mLoop.Now(), [this]() { Arrive(); });
}

void
LoadRun::Arrive()
{
  const Instant arrival = mNextArrival;
  const PlannedRequest request = mWorkload.NextRequest();
  mOpen.emplace(request.mRequest, request);
  mSender.Send(request, [this, request, arrival](const SendResult& aResult) {
    Finished(request, arrival, aResult);
  });
  ScheduleNext();
}

void
LoadRun::Finished(const PlannedRequest& aRequest,
                  Instant aArrival,
                  const SendResult& aResult)
{
  const Duration latency = mLoop.Now() - aArrival;
  AnswerVerdict verdict;
  if (aResult.mKind == SendResult::Kind::Answer) {
    verdict = CheckAnswer(aRequest, mSettings.mSite, aResult.mBody);
  } else if (aResult.mKind == SendResult::Kind::Refusal) {
    verdict.mFault = CheckRefusal(aRequest, aResult.mBody);
  }
  mReport.Add(aRequest, aResult, verdict, aArrival - mStart, latency);
  WriteOutcome(aRequest, aResult, verdict);
  mOpen.erase(aRequest.mRequest);
  StopIfDone();
}

void
LoadRun::WriteOutcome(const PlannedRequest& aRequest,
                      const SendResult& aResult,
                      const AnswerVerdict& aVerdict)
{
  if (!mOutcomes.is_open()) {
    return;
  }
  const bool repeatable = aRequest.mIdempotency == Idempotency::Idempotent;
  mOutcomes << aRequest.mRequest.value() << '\t' << aRequest.mService.value()
            << '\t' << (repeatable ? "idempotent" : "non-idempotent") << '\t'
            << ExecutionName(aResult.mExecution) << '\t' << aResult.mSends
            << '\t' << aVerdict.mFraction << '\t' << aVerdict.mFault << '\n';
}

void
LoadRun::GiveUpOpen()
{
  const std::map<RequestId, PlannedRequest> open = mOpen;
  for (const auto& [id, request] : open) {
    Finished(request, mLoop.Now(), SendResult{});
  }
}

void
LoadRun::StopIfDone()
{
  if (mArrivalsEnded && mOpen.empty()) {
    mLoop.Stop();
  }
}

} // namespace verbenachute::load
