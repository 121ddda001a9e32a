#include <LibGossip/GossipCodec.h>

#include <LibWire/SingleMessage.h>

namespace verbenachute {

namespace {

constexpr std::size_t kStatusFields = 16;
constexpr std::uint32_t kNoAge = 0xffffffff;
constexpr std::size_t kPoisonReportFields = 2;
// A datagram holds a few dozen entries at most.
constexpr std::size_t kMaximumEntries = 256;

void
WriteStatus(const NodeNews& aStatus, FieldWriter* aWriter)
{
  aWriter->Array(kStatusFields);
  aWriter->Id(aStatus.mIdentity.mName);
  aWriter->Id(aStatus.mIdentity.mIncarnation);
  aWriter->Number(aStatus.mCount);
  aWriter->Text(aStatus.mCallerAddress.mHost);
  aWriter->Number(aStatus.mCallerAddress.mPort);
  aWriter->Number(aStatus.mPeerAddress.mPort);
  aWriter->Number(aStatus.mGatherAddress.mPort);
  aWriter->Id(aStatus.mDomain);
  aWriter->Enumerator(aStatus.mService);
  aWriter->Enumerator(aStatus.mReach);
  aWriter->Id(aStatus.mStore);
  aWriter->Number(aStatus.mStoreAge.value_or(kNoAge));
  aWriter->Id(aStatus.mPlan);
  aWriter->Id(aStatus.mIntent);
  aWriter->Number(aStatus.mPower);
  aWriter->Number(aStatus.mUsed);
}

NodeNews
ReadStatus(FieldReader aReader)
{
  NodeNews status;
  status.mIdentity.mName = aReader.Id<NodeName>();
  status.mIdentity.mIncarnation = aReader.Id<Incarnation>();
  status.mCount = aReader.Number<std::uint64_t>();
  status.mCallerAddress.mHost = aReader.Text();
  status.mCallerAddress.mPort = aReader.Number<std::uint16_t>();
  status.mPeerAddress.mHost = status.mCallerAddress.mHost;
  status.mPeerAddress.mPort = aReader.Number<std::uint16_t>();
  status.mGatherAddress.mHost = status.mCallerAddress.mHost;
  status.mGatherAddress.mPort = aReader.Number<std::uint16_t>();
  status.mDomain = aReader.Id<FailureDomain>();
  status.mService = aReader.Enumerator(NodeService::Leaving);
  status.mReach = aReader.Enumerator(NodeReach::All);
  status.mStore = aReader.Id<StoreRevision>();
  const std::uint32_t age = aReader.Number<std::uint32_t>();
  if (age != kNoAge) {
    status.mStoreAge = age;
  }
  status.mPlan = aReader.Id<PlanVersion>();
  status.mIntent = aReader.Id<Revision>();
  status.mPower = aReader.Number<std::uint32_t>();
  status.mUsed = aReader.Number<std::uint32_t>();
  return status;
}

std::size_t
ReadEntryCount(FieldReader* aReader)
{
  const std::size_t count = aReader->Number<std::size_t>();
  if (count > kMaximumEntries) {
    throw MalformedField("too many entries");
  }
  return count;
}

void
WriteMessage(const GossipMessage& aMessage, FieldWriter* aWriter)
{
  aWriter->Number(aMessage.mNews.size());
  for (const NodeNews& status : aMessage.mNews) {
    WriteStatus(status, aWriter);
  }
  aWriter->Number(aMessage.mStrikes.size());
  for (const PoisonStrike& report : aMessage.mStrikes) {
    aWriter->Array(kPoisonReportFields);
    aWriter->Id(report.mFingerprint);
    aWriter->Id(report.mTarget);
  }
}

GossipMessage
ReadMessage(FieldReader* aReader)
{
  GossipMessage message;
  const std::size_t statusCount = ReadEntryCount(aReader);
  for (std::size_t i = 0; i < statusCount; ++i) {
    message.mNews.push_back(ReadStatus(aReader->Array()));
  }
  const std::size_t reportCount = ReadEntryCount(aReader);
  for (std::size_t i = 0; i < reportCount; ++i) {
    FieldReader report = aReader->Array();
    const Fingerprint fingerprint = report.Id<Fingerprint>();
    message.mStrikes.push_back(
      PoisonStrike{ fingerprint, report.Id<TargetName>() });
  }
  return message;
}

} // namespace

std::string
EncodeGossip(const GossipMessage& aMessage)
{
  return EncodeSingleMessage(
    [&](FieldWriter* aWriter) { WriteMessage(aMessage, aWriter); });
}

Result<GossipMessage>
DecodeGossip(std::string_view aBytes)
{
  return DecodeSingleMessage<GossipMessage>(
    aBytes, Step::Membership, ReadMessage);
}

} // namespace verbenachute
