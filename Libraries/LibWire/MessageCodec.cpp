#include <LibWire/MessageCodec.h>

#include <LibWire/FieldReader.h>
#include <LibWire/FieldWriter.h>

#include <utility>

namespace verbenachute {

namespace {

constexpr std::size_t kFieldsPerHit = 3;

void
Write(FieldWriter& aWriter, const Error& aError)
{
  aWriter.Enumerator(aError.mStep);
  aWriter.Enumerator(aError.mCode);
  aWriter.Text(aError.mPeer);
  aWriter.Text(aError.mMessage);
}

Error
ReadError(FieldReader& aReader)
{
  Error error;
  error.mStep = aReader.Enumerator<Step>(Step::Shutdown);
  error.mCode = aReader.Enumerator<ErrorCode>(ErrorCode::Internal);
  error.mPeer = aReader.Text();
  error.mMessage = aReader.Text();
  return error;
}

void
Write(FieldWriter& aWriter, const std::vector<Hit>& aHits)
{
  aWriter.Array(aHits.size());
  for (const Hit& hit : aHits) {
    aWriter.Array(kFieldsPerHit);
    aWriter.Text(hit.mIdentifier);
    aWriter.Real(hit.mScore);
    aWriter.Text(hit.mText);
  }
}

std::vector<Hit>
ReadHits(FieldReader& aReader)
{
  FieldReader list = aReader.Array();
  std::vector<Hit> hits;
  hits.reserve(list.Remaining());
  while (list.Remaining() > 0) {
    FieldReader fields = list.Array();
    Hit hit;
    hit.mIdentifier = fields.Text();
    hit.mScore = fields.Real();
    hit.mText = fields.Text();
    hits.push_back(std::move(hit));
  }
  return hits;
}

void
Write(FieldWriter& aWriter, const SubQuery& aMessage)
{
  aWriter.Id(aMessage.mQuery);
  aWriter.Id(aMessage.mAttempt);
  aWriter.Enumerator(aMessage.mKind);
  aWriter.Id(aMessage.mTarget);
  aWriter.Id(aMessage.mService);
  aWriter.Id(aMessage.mCaller);
  aWriter.Id(aMessage.mClass);
  aWriter.Id(aMessage.mRequest);
  aWriter.Id(aMessage.mFingerprint);
  aWriter.Enumerator(aMessage.mIdempotency);
  aWriter.Id(aMessage.mShard);
  aWriter.Id(aMessage.mVersion);
  aWriter.Time(aMessage.mTimeLeft);
  aWriter.Text(aMessage.mText);
  aWriter.Number(aMessage.mLimit);
}

PeerMessage
ReadSubQuery(FieldReader& aReader)
{
  SubQuery message;
  message.mQuery = aReader.Id<QueryId>();
  message.mAttempt = aReader.Id<AttemptId>();
  message.mKind = aReader.Enumerator<AttemptKind>(AttemptKind::Retry);
  message.mTarget = aReader.Id<TargetName>();
  message.mService = aReader.Id<ServiceName>();
  message.mCaller = aReader.Id<CallerId>();
  message.mClass = aReader.Id<CallerClass>();
  message.mRequest = aReader.Id<RequestId>();
  message.mFingerprint = aReader.Id<Fingerprint>();
  message.mIdempotency =
    aReader.Enumerator<Idempotency>(Idempotency::NonIdempotent);
  message.mShard = aReader.Id<ShardId>();
  message.mVersion = aReader.Id<IndexVersion>();
  message.mTimeLeft = aReader.Time();
  message.mText = aReader.Text();
  message.mLimit = aReader.Number<std::uint32_t>();
  return message;
}

void
Write(FieldWriter& aWriter, const SubAnswer& aMessage)
{
  aWriter.Id(aMessage.mQuery);
  aWriter.Id(aMessage.mAttempt);
  aWriter.Time(aMessage.mQueued);
  aWriter.Time(aMessage.mService);
  aWriter.Number(aMessage.mOutcome.index());
  if (const ShardResult* result =
        std::get_if<ShardResult>(&aMessage.mOutcome)) {
    aWriter.Id(result->mVersion);
    aWriter.Id(result->mShard);
    Write(aWriter, result->mHits);
    return;
  }
  const SubFailure& failure = std::get<SubFailure>(aMessage.mOutcome);
  aWriter.Enumerator(failure.mExecution);
  Write(aWriter, failure.mError);
}

PeerMessage
ReadSubAnswer(FieldReader& aReader)
{
  SubAnswer message;
  message.mQuery = aReader.Id<QueryId>();
  message.mAttempt = aReader.Id<AttemptId>();
  message.mQueued = aReader.Time();
  message.mService = aReader.Time();
  if (aReader.Number<std::uint32_t>() == 0) {
    ShardResult result;
    result.mVersion = aReader.Id<IndexVersion>();
    result.mShard = aReader.Id<ShardId>();
    result.mHits = ReadHits(aReader);
    message.mOutcome = std::move(result);
    return message;
  }
  SubFailure failure;
  failure.mExecution = aReader.Enumerator<Execution>(Execution::Ran);
  failure.mError = ReadError(aReader);
  message.mOutcome = std::move(failure);
  return message;
}

void
Write(FieldWriter& aWriter, const SubCancel& aMessage)
{
  aWriter.Id(aMessage.mAttempt);
}

PeerMessage
ReadSubCancel(FieldReader& aReader)
{
  return SubCancel{ aReader.Id<AttemptId>() };
}

void
Write(FieldWriter& aWriter, const RelayedRequest& aMessage)
{
  const QueryRequest& request = aMessage.mRequest;
  aWriter.Id(aMessage.mRelay);
  aWriter.Id(request.mCaller);
  aWriter.Id(request.mClass);
  aWriter.Id(request.mService);
  aWriter.Id(request.mRequest);
  aWriter.Enumerator(request.mIdempotency);
  aWriter.Time(request.mTimeLeft);
  aWriter.Text(request.mQuery);
  aWriter.Number(request.mLimit);
  const NodeIdentity ticket = request.mTicket.value_or(NodeIdentity{});
  aWriter.Id(ticket.mName);
  aWriter.Id(ticket.mIncarnation);
}

PeerMessage
ReadRelayedRequest(FieldReader& aReader)
{
  RelayedRequest message;
  message.mRelay = aReader.Id<RelayId>();
  QueryRequest& request = message.mRequest;
  request.mCaller = aReader.Id<CallerId>();
  request.mClass = aReader.Id<CallerClass>();
  request.mService = aReader.Id<ServiceName>();
  request.mRequest = aReader.Id<RequestId>();
  request.mIdempotency =
    aReader.Enumerator<Idempotency>(Idempotency::NonIdempotent);
  request.mTimeLeft = aReader.Time();
  request.mQuery = aReader.Text();
  request.mLimit = aReader.Number<std::uint32_t>();
  NodeIdentity ticket;
  ticket.mName = aReader.Id<NodeName>();
  ticket.mIncarnation = aReader.Id<Incarnation>();
  if (!ticket.mName.value().empty()) {
    request.mTicket = ticket;
  }
  return message;
}

void
Write(FieldWriter& aWriter, const QueryAnswer& aAnswer)
{
  aWriter.Id(aAnswer.mRequest);
  aWriter.Id(aAnswer.mService);
  aWriter.Id(aAnswer.mSnapshot);
  aWriter.Number(aAnswer.mCoverage.mShardsAsked);
  aWriter.Number(aAnswer.mCoverage.mShardsAnswered);
  aWriter.Array(aAnswer.mCoverage.mMissing.size());
  for (const ShardId& shard : aAnswer.mCoverage.mMissing) {
    aWriter.Id(shard);
  }
  Write(aWriter, aAnswer.mHits);
  aWriter.Number(aAnswer.mExtraAttempts);
}

QueryAnswer
ReadQueryAnswer(FieldReader& aReader)
{
  QueryAnswer answer;
  answer.mRequest = aReader.Id<RequestId>();
  answer.mService = aReader.Id<ServiceName>();
  answer.mSnapshot = aReader.Id<IndexVersion>();
  answer.mCoverage.mShardsAsked = aReader.Number<std::uint32_t>();
  answer.mCoverage.mShardsAnswered = aReader.Number<std::uint32_t>();
  FieldReader missing = aReader.Array();
  while (missing.Remaining() > 0) {
    answer.mCoverage.mMissing.push_back(missing.Id<ShardId>());
  }
  answer.mHits = ReadHits(aReader);
  answer.mExtraAttempts = aReader.Number<std::uint32_t>();
  return answer;
}

void
Write(FieldWriter& aWriter, const RelayedOutcome& aMessage)
{
  aWriter.Id(aMessage.mRelay);
  aWriter.Number(aMessage.mOutcome.index());
  if (const QueryAnswer* answer =
        std::get_if<QueryAnswer>(&aMessage.mOutcome)) {
    Write(aWriter, *answer);
    return;
  }
  const QueryRefusal& refusal = std::get<QueryRefusal>(aMessage.mOutcome);
  aWriter.Id(refusal.mRequest);
  aWriter.Enumerator(refusal.mExecution);
  Write(aWriter, refusal.mError);
}

PeerMessage
ReadRelayedOutcome(FieldReader& aReader)
{
  RelayedOutcome message;
  message.mRelay = aReader.Id<RelayId>();
  if (aReader.Number<std::uint32_t>() == 0) {
    message.mOutcome = ReadQueryAnswer(aReader);
    return message;
  }
  QueryRefusal refusal;
  refusal.mRequest = aReader.Id<RequestId>();
  refusal.mExecution = aReader.Enumerator<Execution>(Execution::Ran);
  refusal.mError = ReadError(aReader);
  message.mOutcome = std::move(refusal);
  return message;
}

using MessageReader = PeerMessage (*)(FieldReader&);

// Indexed by the type number on the wire, which is the index of the type in
// PeerMessage.
constexpr MessageReader kReaders[] = { ReadSubQuery,
                                       ReadSubAnswer,
                                       ReadSubCancel,
                                       ReadRelayedRequest,
                                       ReadRelayedOutcome };
static_assert(std::size(kReaders) == std::variant_size_v<PeerMessage>);

PeerMessage
ReadMessage(FieldReader& aReader)
{
  const std::size_t type = aReader.Number<std::uint32_t>();
  if (type >= std::size(kReaders)) {
    throw MalformedField("unknown message type");
  }
  return kReaders[type](aReader);
}

} // namespace

std::string
EncodeBatch(const std::vector<PeerMessage>& aMessages)
{
  FieldWriter writer(aMessages.size());
  for (const PeerMessage& message : aMessages) {
    writer.BeginMessage();
    writer.Number(message.index());
    std::visit([&](const auto& aTyped) { Write(writer, aTyped); }, message);
    writer.EndMessage();
  }
  return writer.ReleaseBytes();
}

Result<std::vector<PeerMessage>>
DecodeBatch(std::string_view aBytes)
{
  try {
    const UnpackedBytes unpacked(aBytes);
    FieldReader list = unpacked.Root();
    std::vector<PeerMessage> messages;
    messages.reserve(list.Remaining());
    while (list.Remaining() > 0) {
      FieldReader fields = list.Array();
      messages.push_back(ReadMessage(fields));
    }
    return messages;
  } catch (const std::exception& exception) {
    return Error{ Step::Parse,
                  ErrorCode::InvalidInput,
                  "",
                  std::string("malformed batch: ") + exception.what() };
  }
}

} // namespace verbenachute
