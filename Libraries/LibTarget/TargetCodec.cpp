#include <LibTarget/TargetCodec.h>

#include <LibControl/JsonReader.h>
#include <LibControl/TargetStateCodec.h>
#include <LibJson/JsonText.h>

#include <json/json.h>
#include <limits>

namespace verbenachute {

namespace {

constexpr std::size_t kMaximumBodyBytes = 8UL * 1024 * 1024;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kTimeout = 408;
constexpr int kVersionNotHeld = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kFailed = 500;

Json::Value
ParseBody(const std::string& aBody)
{
  Result<Json::Value> value = ParseJson(aBody, kMaximumBodyBytes);
  if (IsError(value) || !ValueOf(value).isObject()) {
    throw MalformedControl("the body is no JSON object");
  }
  return ReleaseValue(std::move(value));
}

std::vector<Hit>
ReadHits(const Json::Value& aList)
{
  std::vector<Hit> hits;
  for (const Json::Value& item : aList) {
    const Json::Value& score = RequiredMember(item, "score");
    if (!score.isNumeric()) {
      throw MalformedControl("a score is no number");
    }
    hits.push_back(Hit{
      RequiredText(item, "id"), score.asDouble(), RequiredText(item, "text") });
  }
  return hits;
}

TargetReply
ReadAnswer(const Json::Value& aBody, const std::string& aAttempt)
{
  if (RequiredText(aBody, "attempt") != aAttempt) {
    throw MalformedControl("the reply is for another attempt");
  }
  const std::uint64_t shard = RequiredNumber(aBody, "shard");
  if (shard > std::numeric_limits<std::uint32_t>::max()) {
    throw MalformedControl("the shard is too large");
  }
  TargetReply reply;
  reply.mVerdict = TargetVerdict::Answered;
  reply.mVersion = IndexVersion(RequiredNumber(aBody, "version"));
  reply.mShard = ShardId(static_cast<std::uint32_t>(shard));
  reply.mHits = ReadHits(RequiredArray(aBody, "hits"));
  return reply;
}

TargetReply
ReadTimeout(const Json::Value& aBody)
{
  TargetReply reply;
  const Json::Value& ran = RequiredMember(aBody, "ran");
  if (!ran.isBool()) {
    throw MalformedControl("'ran' is neither true nor false");
  }
  reply.mVerdict = ran.asBool() ? TargetVerdict::EndedWhileRunning
                                : TargetVerdict::EndedBeforeRun;
  return reply;
}

TargetReply
ReadVersionNotHeld(const Json::Value& aBody)
{
  Result<std::vector<HeldVersion>> versions =
    ReadHeldVersions(RequiredMember(aBody, "versions"));
  if (IsError(versions)) {
    throw MalformedControl(ErrorOf(versions).mMessage);
  }
  TargetReply reply;
  reply.mVerdict = TargetVerdict::VersionNotHeld;
  reply.mVersions = ReleaseValue(std::move(versions));
  return reply;
}

TargetReply
ReplyWithVerdict(TargetVerdict aVerdict)
{
  TargetReply reply;
  reply.mVerdict = aVerdict;
  return reply;
}

} // namespace

std::string
WriteTargetQuery(const SubQuery& aSubQuery,
                 const std::string& aAttempt,
                 Duration aTimeLeft,
                 UnixMilliseconds aDeadline)
{
  Json::Value body;
  body["attempt"] = aAttempt;
  body["request_id"] = aSubQuery.mRequest.value();
  body["service"] = aSubQuery.mService.value();
  body["shard"] = aSubQuery.mShard.value();
  body["version"] = Json::UInt64(aSubQuery.mVersion.value());
  body["deadline_ms"] =
    Json::Int64(std::chrono::duration_cast<milliseconds>(aTimeLeft).count());
  body["deadline_unix_ms"] = Json::Int64(aDeadline.count());
  body["query"] = aSubQuery.mText;
  body["limit"] = aSubQuery.mLimit;
  body["idempotent"] = aSubQuery.mIdempotency == Idempotency::Idempotent;
  return CompactJson(body);
}

TargetReply
ParseTargetReply(const HttpReply& aReply, const std::string& aAttempt)
{
  try {
    switch (aReply.mStatus) {
      case kOk:
        return ReadAnswer(ParseBody(aReply.mBody), aAttempt);
      case kBadRequest:
        return ReplyWithVerdict(TargetVerdict::Malformed);
      case kTimeout:
        return ReadTimeout(ParseBody(aReply.mBody));
      case kVersionNotHeld:
        return ReadVersionNotHeld(ParseBody(aReply.mBody));
      case kGone:
        return ReplyWithVerdict(TargetVerdict::Draining);
      case kTooManyRequests:
        return ReplyWithVerdict(TargetVerdict::Shed);
      case kFailed:
        return ReplyWithVerdict(TargetVerdict::Failed);
      default:
        return TargetReply{};
    }
  } catch (const std::exception&) {
    return TargetReply{};
  }
}

CancelOutcome
ParseCancelReply(const HttpReply& aReply)
{
  try {
    const Json::Value body = ParseBody(aReply.mBody);
    const Json::Value& cancelled = RequiredMember(body, "cancelled");
    if (aReply.mStatus != kOk || !cancelled.isBool()) {
      return CancelOutcome::Failed;
    }
    return cancelled.asBool() ? CancelOutcome::Confirmed
                              : CancelOutcome::NotFound;
  } catch (const std::exception&) {
    return CancelOutcome::Failed;
  }
}

Result<std::vector<HeldVersion>>
ParseVersionsReply(const HttpReply& aReply)
{
  if (aReply.mStatus != kOk) {
    return Error{ Step::Target,
                  ErrorCode::TargetFailed,
                  "",
                  "the target answered with status " +
                    std::to_string(aReply.mStatus) };
  }
  try {
    return ReadHeldVersions(
      RequiredMember(ParseBody(aReply.mBody), "versions"));
  } catch (const std::exception& exception) {
    return Error{ Step::Target, ErrorCode::InvalidInput, "", exception.what() };
  }
}

} // namespace verbenachute
