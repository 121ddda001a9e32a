#include <LibGather/GatherCodec.h>

#include <LibCore/Overloaded.h>
#include <LibWire/SingleMessage.h>

#include <memory>

namespace verbenachute {

namespace {

// First field of each message; encoded by number.
enum class MessageKind
{
  Order,
  Recall,
  Report,
  /// A report that is the last one for its order.
  LastReport,
  Refusal,
};

// More than any plan has; a message that claims more shards is malformed.
constexpr std::size_t kMaxShards = 65536;
constexpr std::size_t kMaxHttpFields = 1024;
constexpr std::size_t kHttpFieldElements = 2;
constexpr std::size_t kAnsweredElements = 2;
constexpr std::size_t kUnansweredElements = 3;

void
WriteOrder(const GatherOrder& aMessage, FieldWriter* aWriter)
{
  const DelegatedOrder& order = aMessage.mOrder;
  const CallerRequest& request = *order.mRequest;
  aWriter->Enumerator(MessageKind::Order);
  aWriter->Id(aMessage.mNumber);
  aWriter->Time(aMessage.mSent);
  aWriter->Id(order.mPlan);
  aWriter->Time(order.mTimeLeft);
  aWriter->Array(order.mPlaces.size());
  for (const std::size_t shard : order.mPlaces) {
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
}

std::size_t
SizeWithin(const FieldReader& aArray, std::size_t aMax)
{
  if (aArray.Remaining() > aMax) {
    throw MalformedField("too many elements");
  }
  return aArray.Remaining();
}

GatherOrder
ReadOrder(FieldReader* aReader)
{
  GatherOrder message;
  message.mNumber = aReader->Id<DelegationNumber>();
  message.mSent = aReader->Time();
  message.mOrder.mPlan = aReader->Id<PlanVersion>();
  message.mOrder.mTimeLeft = aReader->Time();
  FieldReader shards = aReader->Array();
  const std::size_t count = SizeWithin(shards, kMaxShards);
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t shard = shards.Number<std::size_t>();
    if (shard > kMaxShards ||
        (i > 0 && shard <= message.mOrder.mPlaces.back())) {
      throw MalformedField("shard indexes are not strictly ascending");
    }
    message.mOrder.mPlaces.push_back(shard);
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
  message.mOrder.mRequest = std::move(request);
  return message;
}

void
WriteReport(const GatherAnswer& aAnswer,
            const DelegationReport& aReport,
            FieldWriter* aWriter)
{
  aWriter->Enumerator(aAnswer.mLast ? MessageKind::LastReport
                                    : MessageKind::Report);
  aWriter->Id(aAnswer.mNumber);
  aWriter->Array(aReport.mAnswered.size());
  for (const AnsweredPlace& answered : aReport.mAnswered) {
    aWriter->Array(kAnsweredElements);
    aWriter->Number(answered.mPlace);
    aWriter->Text(answered.mSignature);
  }
  aWriter->Text(aReport.mRecords);
  aWriter->Array(aReport.mUnanswered.size());
  for (const UnansweredPlace& unanswered : aReport.mUnanswered) {
    aWriter->Array(kUnansweredElements);
    aWriter->Number(unanswered.mPlace);
    aWriter->Enumerator(unanswered.mState);
    aWriter->Id(unanswered.mTarget);
  }
}

void
WriteAnswer(const GatherAnswer& aAnswer, FieldWriter* aWriter)
{
  if (const DelegationReport* report =
        std::get_if<DelegationReport>(&aAnswer.mAnswer)) {
    WriteReport(aAnswer, *report, aWriter);
    return;
  }
  aWriter->Enumerator(MessageKind::Refusal);
  aWriter->Id(aAnswer.mNumber);
  aWriter->Enumerator(std::get<DelegationRefusal>(aAnswer.mAnswer).mReason);
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
    report.mAnswered.push_back(AnsweredPlace{ shard, entry.Text() });
  }
  report.mRecords = aReader->Text();
  FieldReader unanswered = aReader->Array();
  const std::size_t unansweredCount = SizeWithin(unanswered, kMaxShards);
  for (std::size_t i = 0; i < unansweredCount; ++i) {
    FieldReader entry = unanswered.Array();
    UnansweredPlace& shard = report.mUnanswered.emplace_back();
    shard.mPlace = entry.Number<std::size_t>();
    shard.mState = entry.Enumerator(AttemptState::NotRun);
    shard.mTarget = entry.Id<TargetName>();
  }
  return report;
}

GatherMessage
ReadMessage(FieldReader* aReader)
{
  const MessageKind kind = aReader->Enumerator(MessageKind::Refusal);
  if (kind == MessageKind::Order) {
    return ReadOrder(aReader);
  }
  const DelegationNumber number = aReader->Id<DelegationNumber>();
  if (kind == MessageKind::Recall) {
    return GatherRecall{ number,
                         aReader->Enumerator(RecallReason::CallerGone) };
  }
  if (kind == MessageKind::Refusal) {
    const DelegationRefusal refusal{ aReader->Enumerator(
      RefusalReason::TooLate) };
    return GatherAnswer{ number, refusal, true };
  }
  return GatherAnswer{ number,
                       ReadReport(aReader),
                       kind == MessageKind::LastReport };
}

} // namespace

std::string
EncodeGather(const GatherMessage& aMessage)
{
  return EncodeSingleMessage([&](FieldWriter* aWriter) {
    std::visit(
      Overloaded{
        [&](const GatherOrder& aOrder) { WriteOrder(aOrder, aWriter); },
        [&](const GatherRecall& aRecall) {
          aWriter->Enumerator(MessageKind::Recall);
          aWriter->Id(aRecall.mNumber);
          aWriter->Enumerator(aRecall.mReason);
        },
        [&](const GatherAnswer& aAnswer) { WriteAnswer(aAnswer, aWriter); } },
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
