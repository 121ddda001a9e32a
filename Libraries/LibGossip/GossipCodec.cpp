#include <LibGossip/GossipCodec.h>

#include <LibWire/SingleMessage.h>

namespace verbenachute {

namespace {

constexpr std::size_t kStatusFields = 16;
constexpr std::uint32_t kNoAge = 0xffffffff;
constexpr std::size_t kPoisonObservationFields = 3;
constexpr std::size_t kPoisonConvictionFields = 3;
// A datagram holds a few dozen entries at most.
constexpr std::size_t kMaximumEntries = 256;

/// Whose status an entry of a message is.
enum class StatusOrigin
{
  Sender,
  Relayed,
};

StatusOrigin
OriginOf(std::size_t aPosition)
{
  return aPosition == 0 ? StatusOrigin::Sender : StatusOrigin::Relayed;
}

void
WriteStatus(const NodeStatus& aStatus,
            StatusOrigin aOrigin,
            FieldWriter* aWriter)
{
  // Earlier releases know neither field. Era 0 is left out where no age
  // follows it.
  const bool hasAge =
    aOrigin == StatusOrigin::Relayed && aStatus.mAgeMs.has_value();
  const bool hasEra = hasAge || aStatus.mStoreEra != StoreEra();
  aWriter->Array(kStatusFields + (hasEra ? 1 : 0) + (hasAge ? 1 : 0));
  aWriter->Id(aStatus.mIdentity.mName);
  aWriter->Id(aStatus.mIdentity.mIncarnation);
  aWriter->Number(aStatus.mHeartbeatCount);
  aWriter->Text(aStatus.mCallerAddress.mHost);
  aWriter->Number(aStatus.mCallerAddress.mPort);
  aWriter->Number(aStatus.mPeerAddress.mPort);
  aWriter->Number(aStatus.mGatherAddress.mPort);
  aWriter->Id(aStatus.mDomain);
  aWriter->Enumerator(aStatus.mServingState);
  aWriter->Enumerator(aStatus.mGossipRole);
  aWriter->Id(aStatus.mStoreRevision);
  aWriter->Number(aStatus.mStoreAgeMs.value_or(kNoAge));
  aWriter->Id(aStatus.mPlanVersion);
  aWriter->Id(aStatus.mConfigurationRevision);
  aWriter->Number(aStatus.mCpuMillicores);
  aWriter->Number(aStatus.mUsedMillicores);
  if (hasEra) {
    aWriter->Id(aStatus.mStoreEra);
  }
  if (hasAge) {
    aWriter->Number(*aStatus.mAgeMs);
  }
}

NodeStatus
ReadStatus(FieldReader aReader, StatusOrigin aOrigin)
{
  NodeStatus status;
  status.mIdentity.mName = aReader.Id<NodeName>();
  status.mIdentity.mIncarnation = aReader.Id<Incarnation>();
  status.mHeartbeatCount = aReader.Number<std::uint64_t>();
  status.mCallerAddress.mHost = aReader.Text();
  status.mCallerAddress.mPort = aReader.Number<std::uint16_t>();
  status.mPeerAddress.mHost = status.mCallerAddress.mHost;
  status.mPeerAddress.mPort = aReader.Number<std::uint16_t>();
  status.mGatherAddress.mHost = status.mCallerAddress.mHost;
  status.mGatherAddress.mPort = aReader.Number<std::uint16_t>();
  status.mDomain = aReader.Id<FailureDomain>();
  status.mServingState = aReader.Enumerator(ServingState::Leaving);
  status.mGossipRole = aReader.Enumerator(GossipRole::Direct);
  status.mStoreRevision = aReader.Id<StoreRevision>();
  const std::uint32_t age = aReader.Number<std::uint32_t>();
  if (age != kNoAge) {
    status.mStoreAgeMs = age;
  }
  status.mPlanVersion = aReader.Id<PlanVersion>();
  status.mConfigurationRevision = aReader.Id<Revision>();
  status.mCpuMillicores = aReader.Number<std::uint32_t>();
  status.mUsedMillicores = aReader.Number<std::uint32_t>();
  if (aReader.Remaining() > 0) {
    status.mStoreEra = aReader.Id<StoreEra>();
  }
  if (aReader.Remaining() > 0) {
    status.mAgeMs = aReader.Number<std::uint32_t>();
  } else if (aOrigin == StatusOrigin::Relayed) {
    status.mAgeMs.reset();
  }
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
  aWriter->Number(aMessage.mStatuses.size());
  for (std::size_t i = 0; i < aMessage.mStatuses.size(); ++i) {
    WriteStatus(aMessage.mStatuses[i], OriginOf(i), aWriter);
  }
  aWriter->Number(aMessage.mPoisonObservations.size() +
                  aMessage.mPoisonConvictions.size());
  for (const PoisonObservation& observation : aMessage.mPoisonObservations) {
    aWriter->Array(kPoisonObservationFields);
    aWriter->Id(observation.mFingerprint);
    aWriter->Id(observation.mTarget);
    aWriter->Number(observation.mTargetStart.count());
  }
  // Nodes of earlier releases read these as observations of a single, unnamed
  // target.
  for (const PoisonConviction& conviction : aMessage.mPoisonConvictions) {
    aWriter->Array(kPoisonConvictionFields);
    aWriter->Id(conviction.mFingerprint);
    aWriter->Id(TargetName());
    aWriter->Time(conviction.mAge);
  }
}

GossipMessage
ReadMessage(FieldReader* aReader)
{
  GossipMessage message;
  const std::size_t statusCount = ReadEntryCount(aReader);
  for (std::size_t i = 0; i < statusCount; ++i) {
    message.mStatuses.push_back(ReadStatus(aReader->Array(), OriginOf(i)));
  }
  const std::size_t reportCount = ReadEntryCount(aReader);
  for (std::size_t i = 0; i < reportCount; ++i) {
    FieldReader observation = aReader->Array();
    const Fingerprint fingerprint = observation.Id<Fingerprint>();
    const TargetName target = observation.Id<TargetName>();
    if (target.value().empty() && observation.Remaining() > 0) {
      message.mPoisonConvictions.push_back(
        PoisonConviction{ fingerprint, observation.Time() });
    } else {
      // Earlier releases do not send the start of the target.
      const UnixMilliseconds start(
        observation.Remaining() == 0
          ? 0
          : observation.Number<UnixMilliseconds::rep>());
      message.mPoisonObservations.push_back(
        PoisonObservation{ fingerprint, target, start });
    }
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
