#include <LibQuota/QuotaCodec.h>

#include <LibWire/SingleMessage.h>

namespace verbenachute {

namespace {

// First field of each message; encoded by number.
enum class MessageKind
{
  Request,
  Reply,
};

QuotaMessage
ReadMessage(FieldReader* aReader)
{
  if (aReader->Enumerator(MessageKind::Reply) == MessageKind::Request) {
    QuotaRequest request;
    request.mNumber = aReader->Id<QuotaRequestNumber>();
    request.mTenant = aReader->Id<TenantName>();
    request.mSource = aReader->Enumerator(QuotaSource::Deputy);
    return request;
  }
  QuotaReply reply;
  reply.mNumber = aReader->Id<QuotaRequestNumber>();
  reply.mDecision = aReader->Enumerator(QuotaDecision::Unknown);
  reply.mRetryAfter = aReader->Time();
  return reply;
}

} // namespace

std::string
EncodeQuota(const QuotaMessage& aMessage)
{
  return EncodeSingleMessage([&](FieldWriter* aWriter) {
    if (const QuotaRequest* request = std::get_if<QuotaRequest>(&aMessage)) {
      aWriter->Enumerator(MessageKind::Request);
      aWriter->Id(request->mNumber);
      aWriter->Id(request->mTenant);
      aWriter->Enumerator(request->mSource);
      return;
    }
    const QuotaReply& reply = std::get<QuotaReply>(aMessage);
    aWriter->Enumerator(MessageKind::Reply);
    aWriter->Id(reply.mNumber);
    aWriter->Enumerator(reply.mDecision);
    aWriter->Time(reply.mRetryAfter);
  });
}

Result<QuotaMessage>
DecodeQuota(std::string_view aBytes)
{
  return DecodeSingleMessage<QuotaMessage>(
    aBytes, Step::Admission, ReadMessage);
}

} // namespace verbenachute
