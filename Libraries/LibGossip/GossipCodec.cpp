#include <LibGossip/GossipCodec.h>

#include <LibWire/SingleMessage.h>

namespace verbenachute {

namespace {

constexpr std::size_t kNewsFields = 16;
constexpr std::uint32_t kNoAge = 0xffffffff;
constexpr std::size_t kStrikeFields = 2;
// A datagram holds a few dozen entries at most.
constexpr std::size_t kMostEntries = 256;

void
WriteNews(const NodeNews& aNews, FieldWriter* aWriter)
{
  aWriter->Array(kNewsFields);
  aWriter->Id(aNews.mIdentity.mName);
  aWriter->Id(aNews.mIdentity.mIncarnation);
  aWriter->Number(aNews.mCount);
  aWriter->Text(aNews.mCallerAddress.mHost);
  aWriter->Number(aNews.mCallerAddress.mPort);
  aWriter->Number(aNews.mPeerAddress.mPort);
  aWriter->Number(aNews.mGatherAddress.mPort);
  aWriter->Id(aNews.mDomain);
  aWriter->Enumerator(aNews.mService);
  aWriter->Enumerator(aNews.mReach);
  aWriter->Id(aNews.mStore);
  aWriter->Number(aNews.mStoreAge.value_or(kNoAge));
  aWriter->Id(aNews.mPlan);
  aWriter->Id(aNews.mIntent);
  aWriter->Number(aNews.mPower);
  aWriter->Number(aNews.mUsed);
}

NodeNews
ReadNews(FieldReader aReader)
{
  NodeNews news;
  news.mIdentity.mName = aReader.Id<NodeName>();
  news.mIdentity.mIncarnation = aReader.Id<Incarnation>();
  news.mCount = aReader.Number<std::uint64_t>();
  news.mCallerAddress.mHost = aReader.Text();
  news.mCallerAddress.mPort = aReader.Number<std::uint16_t>();
  news.mPeerAddress.mHost = news.mCallerAddress.mHost;
  news.mPeerAddress.mPort = aReader.Number<std::uint16_t>();
  news.mGatherAddress.mHost = news.mCallerAddress.mHost;
  news.mGatherAddress.mPort = aReader.Number<std::uint16_t>();
  news.mDomain = aReader.Id<FailureDomain>();
  news.mService = aReader.Enumerator(NodeService::Leaving);
  news.mReach = aReader.Enumerator(NodeReach::All);
  news.mStore = aReader.Id<StoreRevision>();
  const std::uint32_t age = aReader.Number<std::uint32_t>();
  if (age != kNoAge) {
    news.mStoreAge = age;
  }
  news.mPlan = aReader.Id<PlanVersion>();
  news.mIntent = aReader.Id<Revision>();
  news.mPower = aReader.Number<std::uint32_t>();
  news.mUsed = aReader.Number<std::uint32_t>();
  return news;
}

std::size_t
CheckedCount(FieldReader* aReader)
{
  const std::size_t count = aReader->Number<std::size_t>();
  if (count > kMostEntries) {
    throw MalformedField("too many entries");
  }
  return count;
}

void
WriteMessage(const GossipMessage& aMessage, FieldWriter* aWriter)
{
  aWriter->Number(aMessage.mNews.size());
  for (const NodeNews& news : aMessage.mNews) {
    WriteNews(news, aWriter);
  }
  aWriter->Number(aMessage.mStrikes.size());
  for (const PoisonStrike& strike : aMessage.mStrikes) {
    aWriter->Array(kStrikeFields);
    aWriter->Id(strike.mFingerprint);
    aWriter->Id(strike.mTarget);
  }
}

GossipMessage
ReadMessage(FieldReader* aReader)
{
  GossipMessage message;
  const std::size_t news = CheckedCount(aReader);
  for (std::size_t i = 0; i < news; ++i) {
    message.mNews.push_back(ReadNews(aReader->Array()));
  }
  const std::size_t strikes = CheckedCount(aReader);
  for (std::size_t i = 0; i < strikes; ++i) {
    FieldReader strike = aReader->Array();
    const Fingerprint fingerprint = strike.Id<Fingerprint>();
    message.mStrikes.push_back(
      PoisonStrike{ fingerprint, strike.Id<TargetName>() });
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
