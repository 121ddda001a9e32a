#include <LibControl/MemberCodec.h>

#include <LibControl/JsonReader.h>
#include <LibCore/SocketAddressText.h>

#include <limits>

namespace verbenachute {

namespace {

SocketAddress
RequiredAddress(const Json::Value& aObject, const char* aName)
{
  Result<SocketAddress> address =
    ParseSocketAddress(RequiredText(aObject, aName));
  if (IsError(address)) {
    throw MalformedControl(ErrorOf(address).mMessage);
  }
  return ReleaseValue(std::move(address));
}

Json::Value
WriteBuckets(const std::vector<MemberBuckets>& aBuckets)
{
  Json::Value masks(Json::objectValue);
  for (const MemberBuckets& buckets : aBuckets) {
    masks[buckets.mDomain.value()] = buckets.mMask;
  }
  return masks;
}

std::vector<MemberBuckets>
ReadBuckets(const Json::Value& aMasks)
{
  if (!aMasks.isObject()) {
    throw MalformedControl("buckets are no object");
  }
  std::vector<MemberBuckets> buckets;
  for (const std::string& domain : aMasks.getMemberNames()) {
    const std::uint64_t mask = RequiredNumber(aMasks, domain.c_str());
    if (mask > std::numeric_limits<std::uint16_t>::max()) {
      throw MalformedControl("a bucket mask is too large");
    }
    buckets.push_back(
      MemberBuckets{ FailureDomain(domain), static_cast<std::uint16_t>(mask) });
  }
  return buckets;
}

Json::Value
WriteDescription(const MemberDescription& aMember)
{
  Json::Value value;
  value["identity"] = NodeIdentityText(aMember.mIdentity);
  value["caller"] = SocketAddressText(aMember.mCallerAddress);
  value["peer"] = SocketAddressText(aMember.mPeerAddress);
  value["operator"] = SocketAddressText(aMember.mOperatorAddress);
  value["domain"] = aMember.mDomain.value();
  value["region"] = aMember.mRegion.value();
  value["leaving"] = aMember.mPhase == MemberPhase::Leaving;
  value["ticket"] = Json::UInt64(aMember.mTicket.value());
  value["revision"] = Json::UInt64(aMember.mRevision.value());
  value["buckets"] = WriteBuckets(aMember.mBuckets);
  value["digest"] = Json::UInt64(aMember.mDigest);
  return value;
}

bool
RequiredTruth(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = RequiredMember(aObject, aName);
  if (!value.isBool()) {
    throw MalformedControl(std::string("member '") + aName +
                           "' is neither true nor false");
  }
  return value.asBool();
}

MemberDescription
ReadDescription(const Json::Value& aValue)
{
  MemberDescription member;
  member.mIdentity = RequiredIdentity(aValue, "identity");
  member.mCallerAddress = RequiredAddress(aValue, "caller");
  member.mPeerAddress = RequiredAddress(aValue, "peer");
  member.mOperatorAddress = RequiredAddress(aValue, "operator");
  member.mDomain = FailureDomain(RequiredText(aValue, "domain"));
  member.mRegion = Region(RequiredText(aValue, "region"));
  member.mPhase =
    RequiredTruth(aValue, "leaving") ? MemberPhase::Leaving : MemberPhase::Live;
  member.mTicket = Incarnation(RequiredNumber(aValue, "ticket"));
  member.mRevision = Revision(RequiredNumber(aValue, "revision"));
  member.mBuckets = ReadBuckets(RequiredMember(aValue, "buckets"));
  member.mDigest = RequiredNumber(aValue, "digest");
  return member;
}

MemberRumour
ReadRumour(const Json::Value& aValue)
{
  MemberRumour rumour;
  rumour.mKind = RequiredTruth(aValue, "dead") ? MemberRumour::Kind::Dead
                                               : MemberRumour::Kind::Heard;
  rumour.mMember = ReadDescription(RequiredMember(aValue, "member"));
  rumour.mCounter = RequiredNumber(aValue, "counter");
  return rumour;
}

MemberHeartbeat
HeartbeatOf(const Json::Value& aValue)
{
  MemberHeartbeat heartbeat;
  heartbeat.mSender = ReadDescription(RequiredMember(aValue, "sender"));
  heartbeat.mCounter = RequiredNumber(aValue, "counter");
  heartbeat.mEchoOf = Incarnation(RequiredNumber(aValue, "echo_of"));
  heartbeat.mEcho = RequiredNumber(aValue, "echo");
  for (const Json::Value& item : RequiredArray(aValue, "seen_leaving")) {
    Result<NodeIdentity> identity =
      ParseNodeIdentity(item.isString() ? item.asString() : "");
    if (IsError(identity)) {
      throw MalformedControl(ErrorOf(identity).mMessage);
    }
    heartbeat.mSeenLeaving.push_back(ReleaseValue(std::move(identity)));
  }
  for (const Json::Value& item : RequiredArray(aValue, "rumours")) {
    heartbeat.mRumours.push_back(ReadRumour(item));
  }
  return heartbeat;
}

} // namespace

Json::Value
WriteHeartbeat(const MemberHeartbeat& aHeartbeat)
{
  Json::Value value;
  value["sender"] = WriteDescription(aHeartbeat.mSender);
  value["counter"] = Json::UInt64(aHeartbeat.mCounter);
  value["echo_of"] = Json::UInt64(aHeartbeat.mEchoOf.value());
  value["echo"] = Json::UInt64(aHeartbeat.mEcho);
  value["seen_leaving"] = Json::arrayValue;
  for (const NodeIdentity& identity : aHeartbeat.mSeenLeaving) {
    value["seen_leaving"].append(NodeIdentityText(identity));
  }
  value["rumours"] = Json::arrayValue;
  for (const MemberRumour& rumour : aHeartbeat.mRumours) {
    Json::Value item;
    item["dead"] = rumour.mKind == MemberRumour::Kind::Dead;
    item["member"] = WriteDescription(rumour.mMember);
    item["counter"] = Json::UInt64(rumour.mCounter);
    value["rumours"].append(std::move(item));
  }
  return value;
}

Result<MemberHeartbeat>
ReadHeartbeat(const Json::Value& aValue)
{
  return ReadMessage(aValue, HeartbeatOf);
}

} // namespace verbenachute
