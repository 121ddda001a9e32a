#include <LibCaller/QueryOutcomeWriter.h>

#include <LibCore/Verify.h>
#include <LibJson/JsonText.h>

#include <json/json.h>

namespace verbenachute {

namespace {

constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kInternal = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;

Json::Value
CoverageValue(const Coverage& aCoverage)
{
  Json::Value value;
  value["shards"] = aCoverage.mShardsAsked;
  value["answered"] = aCoverage.mShardsAnswered;
  value["missing"] = Json::arrayValue;
  for (const ShardId& shard : aCoverage.mMissing) {
    value["missing"].append(shard.value());
  }
  value["fraction"] =
    aCoverage.mShardsAsked == 0
      ? 0.0
      : static_cast<double>(aCoverage.mShardsAnswered) / aCoverage.mShardsAsked;
  return value;
}

OutcomeText
WriteAnswer(const QueryAnswer& aAnswer)
{
  Json::Value body;
  body["request_id"] = aAnswer.mRequest.value();
  body["service"] = aAnswer.mService.value();
  body["ran"] = ExecutionName(Execution::Ran);
  body["snapshot"] = Json::UInt64(aAnswer.mSnapshot.value());
  body["coverage"] = CoverageValue(aAnswer.mCoverage);
  body["hits"] = Json::arrayValue;
  for (const Hit& hit : aAnswer.mHits) {
    Json::Value item;
    item["id"] = hit.mIdentifier;
    item["score"] = hit.mScore;
    item["text"] = hit.mText;
    body["hits"].append(std::move(item));
  }
  body["extra_attempts"] = aAnswer.mExtraAttempts;
  return OutcomeText{ 200, CompactJson(body) };
}

OutcomeText
WriteRefusal(const QueryRefusal& aRefusal)
{
  Json::Value body;
  body["request_id"] = aRefusal.mRequest.value();
  body["ran"] = ExecutionName(aRefusal.mExecution);
  body["error"]["code"] = ErrorCodeName(aRefusal.mError.mCode);
  body["error"]["step"] = StepName(aRefusal.mError.mStep);
  body["error"]["peer"] = aRefusal.mError.mPeer;
  body["error"]["message"] = aRefusal.mError.mMessage;
  return OutcomeText{ StatusOf(aRefusal.mError.mCode), CompactJson(body) };
}

} // namespace

OutcomeText
WriteQueryOutcome(const QueryOutcome& aOutcome)
{
  if (const QueryAnswer* answer = std::get_if<QueryAnswer>(&aOutcome)) {
    return WriteAnswer(*answer);
  }
  return WriteRefusal(std::get<QueryRefusal>(aOutcome));
}

int
StatusOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidInput:
      return kBadRequest;
    case ErrorCode::TooLarge:
      return kTooLarge;
    case ErrorCode::NotFound:
      return kNotFound;
    case ErrorCode::Forbidden:
    case ErrorCode::Refused:
      return kForbidden;
    case ErrorCode::Conflict:
    case ErrorCode::TicketExpired:
      return kConflict;
    case ErrorCode::Poisoned:
      return kUnprocessable;
    case ErrorCode::Overloaded:
      return kTooManyRequests;
    case ErrorCode::Unreachable:
    case ErrorCode::TargetFailed:
    case ErrorCode::OutcomeUnknown:
      return kBadGateway;
    case ErrorCode::Unavailable:
    case ErrorCode::VersionGone:
    case ErrorCode::Cancelled:
    case ErrorCode::NotHolder:
    case ErrorCode::Draining:
      return kUnavailable;
    case ErrorCode::DeadlinePassed:
      return kTimeout;
    case ErrorCode::Internal:
      return kInternal;
  }
  VERIFY(!"unknown error code");
}

} // namespace verbenachute
