#include <LibGather/GatherCodec.h>

#include <LibCore/Overloaded.h>
#include <LibWire/SingleMessage.h>

#include <memory>

namespace verbenachute {

namespace {

// First field of each message; encoded by number.
enum class MessageKind
{
  Request,
  Cancellation,
  Report,
  /// A report that is the last one for its request.
  LastReport,
  Refusal,
};

// More than any plan has; a message that claims more shards is malformed.
constexpr std::size_t kMaxShards = 65536;
constexpr std::size_t kMaxHttpFields = 1024;
constexpr std::size_t kHttpFieldElements = 2;
constexpr std::uint32_t kNoPriority = 0xffffffff;
constexpr std::size_t kAnsweredElements = 3;
constexpr std::size_t kUnansweredElements = 3;

void
WriteRequest(const GatherRequest& aMessage, FieldWriter* aWriter)
{
  const DelegationRequest& delegation = aMessage.mDelegationRequest;
  const CallerRequest& request = *delegation.mRequest;
  aWriter->Enumerator(MessageKind::Request);
  aWriter->Id(aMessage.mNumber);
  aWriter->Time(aMessage.mSent);
  aWriter->Id(delegation.mPlan);
  aWriter->Time(delegation.mTimeLeft);
  aWriter->Enumerator(delegation.mUrgency);
  aWriter->Text(delegation.mFloor);
  aWriter->Array(delegation.mShardIndexes.size());
  for (const std::size_t shard : delegation.mShardIndexes) {
    aWriter->Number(shard);
  }
  aWriter->Id(request.mId);
  aWriter->Text(request.mMethod);
  aWriter->Text(request.mTarget);
  aWriter->Text(request.mHost);
  aWriter->Id(request.mCaller);
  aWriter->Array(request.mFields.All().size());
  for (const HttpField& field : request.mFields.All()) {
    aWriter->Array(kHttpFieldElements);
    aWriter->Text(field.mName);
    aWriter->Text(field.mValue);
  }
  aWriter->Text(request.mBody);
  if (!request.mTenant.value().empty()) {
    aWriter->Id(request.mTenant);
    aWriter->Number(request.mTenantPriority.value_or(kNoPriority));
  }
}

std::size_t
SizeWithin(const FieldReader& aArray, std::size_t aMax)
{
  if (aArray.Remaining() > aMax) {
    throw MalformedField("too many elements");
  }
  return aArray.Remaining();
}

GatherRequest
ReadRequest(FieldReader* aReader)
{
  GatherRequest message;
  message.mNumber = aReader->Id<DelegationNumber>();
  message.mSent = aReader->Time();
  message.mDelegationRequest.mPlan = aReader->Id<PlanVersion>();
  message.mDelegationRequest.mTimeLeft = aReader->Time();
  message.mDelegationRequest.mUrgency =
    aReader->Enumerator(DelegationUrgency::Always);
  message.mDelegationRequest.mFloor = aReader->Text();
  FieldReader shards = aReader->Array();
  const std::size_t count = SizeWithin(shards, kMaxShards);
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t shard = shards.Number<std::size_t>();
    if (shard > kMaxShards ||
        (i > 0 && shard <= message.mDelegationRequest.mShardIndexes.back())) {
      throw MalformedField("shard indexes are not strictly ascending");
    }
    message.mDelegationRequest.mShardIndexes.push_back(shard);
  }
  std::shared_ptr<CallerRequest> request = std::make_shared<CallerRequest>();
  request->mId = aReader->Id<RequestId>();
  request->mMethod = aReader->Text();
  request->mTarget = aReader->Text();
  request->mHost = aReader->Text();
  request->mCaller = aReader->Id<CallerId>();
  FieldReader fields = aReader->Array();
  const std::size_t fieldCount = SizeWithin(fields, kMaxHttpFields);
  for (std::size_t i = 0; i < fieldCount; ++i) {
    FieldReader field = fields.Array();
    std::string name = field.Text();
    request->mFields.Add(std::move(name), field.Text());
  }
  request->mBody = aReader->Text();
  if (aReader->Remaining() > 0) {
    request->mTenant = aReader->Id<TenantName>();
    const std::uint32_t priority = aReader->Number<std::uint32_t>();
    if (priority != kNoPriority) {
      request->mTenantPriority = priority;
    }
  }
  message.mDelegationRequest.mRequest = std::move(request);
  return message;
}

void
WriteReport(const GatherResponse& aResponse,
            const DelegationReport& aReport,
            FieldWriter* aWriter)
{
  aWriter->Enumerator(aResponse.mIsFinal ? MessageKind::LastReport
                                         : MessageKind::Report);
  aWriter->Id(aResponse.mNumber);
  aWriter->Array(aReport.mAnswered.size());
  for (const AnsweredShard& answered : aReport.mAnswered) {
    aWriter->Array(kAnsweredElements);
    aWriter->Number(answered.mShardIndex);
    aWriter->Text(answered.mSignature);
    aWriter->Text(answered.mRecords);
  }
  aWriter->Text(aReport.mFloor);
  aWriter->Array(aReport.mUnanswered.size());
  for (const UnansweredShard& unanswered : aReport.mUnanswered) {
    aWriter->Array(kUnansweredElements);
    aWriter->Number(unanswered.mShardIndex);
    aWriter->Enumerator(unanswered.mState);
    aWriter->Id(unanswered.mTarget);
  }
}

void
WriteResponse(const GatherResponse& aResponse, FieldWriter* aWriter)
{
  if (const DelegationReport* report =
        std::get_if<DelegationReport>(&aResponse.mAnswer)) {
    WriteReport(aResponse, *report, aWriter);
    return;
  }
  aWriter->Enumerator(MessageKind::Refusal);
  aWriter->Id(aResponse.mNumber);
  aWriter->Enumerator(std::get<DelegationRefusal>(aResponse.mAnswer).mReason);
}

DelegationReport
ReadReport(FieldReader* aReader)
{
  DelegationReport report;
  FieldReader answered = aReader->Array();
  const std::size_t answeredCount = SizeWithin(answered, kMaxShards);
  for (std::size_t i = 0; i < answeredCount; ++i) {
    FieldReader entry = answered.Array();
    const std::size_t shard = entry.Number<std::size_t>();
    std::string signature = entry.Text();
    report.mAnswered.push_back(
      AnsweredShard{ shard, std::move(signature), entry.Text() });
  }
  report.mFloor = aReader->Text();
  FieldReader unanswered = aReader->Array();
  const std::size_t unansweredCount = SizeWithin(unanswered, kMaxShards);
  for (std::size_t i = 0; i < unansweredCount; ++i) {
    FieldReader entry = unanswered.Array();
    UnansweredShard& shard = report.mUnanswered.emplace_back();
    shard.mShardIndex = entry.Number<std::size_t>();
    shard.mState = entry.Enumerator(AttemptState::NotRun);
    shard.mTarget = entry.Id<TargetName>();
  }
  return report;
}

GatherMessage
ReadMessage(FieldReader* aReader)
{
  const MessageKind kind = aReader->Enumerator(MessageKind::Refusal);
  if (kind == MessageKind::Request) {
    return ReadRequest(aReader);
  }
  const DelegationNumber number = aReader->Id<DelegationNumber>();
  if (kind == MessageKind::Cancellation) {
    return GatherCancellation{
      number, aReader->Enumerator(CancelReason::CallerDisconnected)
    };
  }
  if (kind == MessageKind::Refusal) {
    const DelegationRefusal refusal{ aReader->Enumerator(
      RefusalReason::KeyUndecided) };
    return GatherResponse{ number, refusal, true };
  }
  return GatherResponse{ number,
                         ReadReport(aReader),
                         kind == MessageKind::LastReport };
}

} // namespace

std::string
EncodeGather(const GatherMessage& aMessage)
{
  return EncodeSingleMessage([&](FieldWriter* aWriter) {
    std::visit(Overloaded{ [&](const GatherRequest& aRequest) {
                            WriteRequest(aRequest, aWriter);
                          },
                           [&](const GatherCancellation& aCancellation) {
                             aWriter->Enumerator(MessageKind::Cancellation);
                             aWriter->Id(aCancellation.mNumber);
                             aWriter->Enumerator(aCancellation.mReason);
                           },
                           [&](const GatherResponse& aResponse) {
                             WriteResponse(aResponse, aWriter);
                           } },
               aMessage);
  });
}

Result<GatherMessage>
DecodeGather(std::string_view aBytes)
{
  return DecodeSingleMessage<GatherMessage>(
    aBytes, Step::Dispatch, ReadMessage);
}

} // namespace verbenachute
