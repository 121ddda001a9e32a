#include "TierSender.h"

#include <Common/JsonText.h>

#include <array>
#include <utility>

namespace verbenachute::load {

namespace {

/// A node answers or refuses by the deadline, so a caller that waits longer
/// than this after it has lost its node.
constexpr Duration kGraceAfterDeadline = milliseconds(500);
/// A request with less time than this is not sent again.
constexpr Duration kLeastTimeLeft = milliseconds(20);
constexpr int kStatusOk = 200;

milliseconds
Whole(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration);
}

Json::Value
BodyOf(const PlannedRequest& aRequest,
       const std::string& aTicket,
       Duration aTimeLeft)
{
  Json::Value body;
  body["caller"] = aRequest.mCaller.value();
  body["class"] = aRequest.mClass.value();
  body["service"] = aRequest.mService.value();
  body["request_id"] = aRequest.mRequest.value();
  body["deadline_ms"] = Json::Int64(Whole(aTimeLeft).count());
  body["idempotent"] = aRequest.mIdempotency == Idempotency::Idempotent;
  body["query"] = aRequest.mQuery;
  body["limit"] = aRequest.mLimit;
  if (aRequest.mIdempotency == Idempotency::NonIdempotent) {
    body["ticket"] = aTicket;
  }
  return body;
}

/// Whether another node may do better than the one that refused.
bool
IsWorthRepeating(const Json::Value& aRefusal)
{
  if (aRefusal.get("ran", "").asString() ==
      ExecutionName(Execution::OutcomeUnknown)) {
    return true;
  }
  const std::string code = aRefusal["error"].get("code", "").asString();
  const std::array<ErrorCode, 3> passing = { ErrorCode::Unavailable,
                                             ErrorCode::Draining,
                                             ErrorCode::Unreachable };
  for (const ErrorCode known : passing) {
    if (code == ErrorCodeName(known)) {
      return true;
    }
  }
  return false;
}

} // namespace

TierSender::TierSender(standins::EventLoop& aLoop,
                       const LoadSettings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mClient(aLoop)
{
}

void
TierSender::Send(const PlannedRequest& aRequest, Callback aCallback)
{
  std::unique_ptr<CallerAddresses>& caller = mCallers[aRequest.mCaller];
  if (!caller) {
    caller = std::make_unique<CallerAddresses>(
      mLoop, mClient, aRequest.mCaller, mSettings.mNodes);
  }
  const std::shared_ptr<Flight> flight = std::make_shared<Flight>();
  flight->mRequest = aRequest;
  flight->mCallback = std::move(aCallback);
  flight->mDeadline = mLoop.Now() + aRequest.mDeadline;
  flight->mRetriesLeft = mSettings.mRetries;
  caller->Ask([this, flight](const CallerAddresses::Answer& aAnswer) {
    if (mLoop.Now() >= flight->mDeadline) {
      // No node gave an address in time, so nothing was sent.
      flight->mResult.mExecution = Execution::NotRun;
      flight->mCallback(flight->mResult);
      return;
    }
    flight->mAddresses = aAnswer;
    Launch(flight);
    if (flight->mRequest.mSending == Sending::Duplicate) {
      Launch(flight);
    }
  });
}

void
TierSender::Launch(const std::shared_ptr<Flight>& aFlight)
{
  const Duration timeLeft = aFlight->mDeadline - mLoop.Now();
  const std::vector<SocketAddress>& addresses = aFlight->mAddresses.mAddresses;
  ++aFlight->mOpen;
  ++aFlight->mResult.mSends;
  HttpExchange exchange;
  exchange.mAddress = addresses[aFlight->mNextAddress++ % addresses.size()];
  exchange.mPath = "/v1/query";
  exchange.mBody = standins::JsonText(
    BodyOf(aFlight->mRequest, aFlight->mAddresses.mTicket, timeLeft));
  exchange.mTimeout = timeLeft + kGraceAfterDeadline;
  mClient.Send(std::move(exchange), [this, aFlight](const HttpReply& aReply) {
    Replied(aFlight, aReply);
  });
}

void
TierSender::Replied(const std::shared_ptr<Flight>& aFlight,
                    const HttpReply& aReply)
{
  TakeReply(*aFlight, aReply);
  --aFlight->mOpen;
  if (aFlight->mOpen > 0) {
    return;
  }
  if (WantsRetry(*aFlight)) {
    --aFlight->mRetriesLeft;
    Launch(aFlight);
    return;
  }
  SendResult& result = aFlight->mResult;
  if (result.mKind != SendResult::Kind::Answer && aFlight->mAnyUnknown) {
    result.mExecution = Execution::OutcomeUnknown;
  }
  aFlight->mCallback(result);
}

void
TierSender::TakeReply(Flight& aFlight, const HttpReply& aReply) const
{
  SendResult& result = aFlight.mResult;
  const std::optional<Json::Value> body =
    standins::ParseJsonObject(aReply.mBody);
  if (aReply.mStatus == kStatusOk) {
    result.mKind = SendResult::Kind::Answer;
    result.mExecution = Execution::Ran;
    result.mBody = body.value_or(Json::Value());
    return;
  }
  const std::string ran = body ? body->get("ran", "").asString() : "";
  if (ran != ExecutionName(Execution::NotRun)) {
    aFlight.mAnyUnknown = true;
  }
  if (result.mKind == SendResult::Kind::Answer) {
    return;
  }
  result.mKind = body ? SendResult::Kind::Refusal : SendResult::Kind::NoReply;
  result.mBody = body.value_or(Json::Value());
  result.mExecution = ran == ExecutionName(Execution::NotRun)
                        ? Execution::NotRun
                        : Execution::OutcomeUnknown;
}

bool
TierSender::WantsRetry(const Flight& aFlight) const
{
  if (aFlight.mRetriesLeft == 0 ||
      aFlight.mResult.mKind == SendResult::Kind::Answer ||
      aFlight.mDeadline - mLoop.Now() < kLeastTimeLeft) {
    return false;
  }
  return aFlight.mResult.mKind == SendResult::Kind::NoReply ||
         IsWorthRepeating(aFlight.mResult.mBody);
}

} // namespace verbenachute::load
