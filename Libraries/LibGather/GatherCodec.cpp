#include <LibGather/GatherCodec.h>

#include <LibCore/Overloaded.h>
#include <LibWire/SingleMessage.h>

#include <memory>

namespace verbenachute {

namespace {

// The first field of each message.
enum class Kind
{
  Order,
  Recall,
  Report,
  /// A report after which none follows.
  LastReport,
  Refusal,
};

// More shards than any plan names; a message that claims more is malformed.
constexpr std::size_t kMostPlaces = 65536;
constexpr std::size_t kMostFields = 1024;
constexpr std::size_t kFieldFields = 2;
constexpr std::size_t kAnsweredFields = 2;
constexpr std::size_t kUnansweredFields = 3;

void
WriteOrder(const GatherOrder& aMessage, FieldWriter* aWriter)
{
  const DelegatedOrder& order = aMessage.mOrder;
  const CallerRequest& request = *order.mRequest;
  aWriter->Enumerator(Kind::Order);
  aWriter->Id(aMessage.mNumber);
  aWriter->Time(aMessage.mSent);
  aWriter->Id(order.mPlan);
  aWriter->Time(order.mTimeLeft);
  aWriter->Array(order.mPlaces.size());
  for (const std::size_t place : order.mPlaces) {
    aWriter->Number(place);
  }
  aWriter->Id(request.mId);
  aWriter->Text(request.mMethod);
  aWriter->Text(request.mTarget);
  aWriter->Text(request.mHost);
  aWriter->Id(request.mCaller);
  aWriter->Array(request.mFields.All().size());
  for (const HttpField& field : request.mFields.All()) {
    aWriter->Array(kFieldFields);
    aWriter->Text(field.mName);
    aWriter->Text(field.mValue);
  }
  aWriter->Text(request.mBody);
}

std::size_t
CheckedSize(const FieldReader& aArray, std::size_t aMost)
{
  if (aArray.Remaining() > aMost) {
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
  FieldReader places = aReader->Array();
  const std::size_t count = CheckedSize(places, kMostPlaces);
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t place = places.Number<std::size_t>();
    if (place > kMostPlaces ||
        (i > 0 && place <= message.mOrder.mPlaces.back())) {
      throw MalformedField("places that do not rise");
    }
    message.mOrder.mPlaces.push_back(place);
  }
  std::shared_ptr<CallerRequest> request = std::make_shared<CallerRequest>();
  request->mId = aReader->Id<RequestId>();
  request->mMethod = aReader->Text();
  request->mTarget = aReader->Text();
  request->mHost = aReader->Text();
  request->mCaller = aReader->Id<CallerId>();
  FieldReader fields = aReader->Array();
  const std::size_t fieldCount = CheckedSize(fields, kMostFields);
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
  aWriter->Enumerator(aAnswer.mLast ? Kind::LastReport : Kind::Report);
  aWriter->Id(aAnswer.mNumber);
  aWriter->Array(aReport.mAnswered.size());
  for (const AnsweredPlace& answered : aReport.mAnswered) {
    aWriter->Array(kAnsweredFields);
    aWriter->Number(answered.mPlace);
    aWriter->Text(answered.mSignature);
  }
  aWriter->Text(aReport.mRecords);
  aWriter->Array(aReport.mUnanswered.size());
  for (const UnansweredPlace& unanswered : aReport.mUnanswered) {
    aWriter->Array(kUnansweredFields);
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
  aWriter->Enumerator(Kind::Refusal);
  aWriter->Id(aAnswer.mNumber);
  aWriter->Enumerator(std::get<DelegationRefusal>(aAnswer.mAnswer).mReason);
}

DelegationReport
ReadReport(FieldReader* aReader)
{
  DelegationReport report;
  FieldReader answered = aReader->Array();
  const std::size_t answeredCount = CheckedSize(answered, kMostPlaces);
  for (std::size_t i = 0; i < answeredCount; ++i) {
    FieldReader entry = answered.Array();
    const std::size_t place = entry.Number<std::size_t>();
    report.mAnswered.push_back(AnsweredPlace{ place, entry.Text() });
  }
  report.mRecords = aReader->Text();
  FieldReader unanswered = aReader->Array();
  const std::size_t unansweredCount = CheckedSize(unanswered, kMostPlaces);
  for (std::size_t i = 0; i < unansweredCount; ++i) {
    FieldReader entry = unanswered.Array();
    UnansweredPlace& place = report.mUnanswered.emplace_back();
    place.mPlace = entry.Number<std::size_t>();
    place.mState = entry.Enumerator(AttemptState::NotRun);
    place.mTarget = entry.Id<TargetName>();
  }
  return report;
}

GatherMessage
ReadMessage(FieldReader* aReader)
{
  const Kind kind = aReader->Enumerator(Kind::Refusal);
  if (kind == Kind::Order) {
    return ReadOrder(aReader);
  }
  const DelegationNumber number = aReader->Id<DelegationNumber>();
  if (kind == Kind::Recall) {
    return GatherRecall{ number,
                         aReader->Enumerator(RecallReason::CallerGone) };
  }
  if (kind == Kind::Refusal) {
    const DelegationRefusal refusal{ aReader->Enumerator(
      RefusalReason::TooLate) };
    return GatherAnswer{ number, refusal, true };
  }
  return GatherAnswer{ number, ReadReport(aReader), kind == Kind::LastReport };
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
          aWriter->Enumerator(Kind::Recall);
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
