#include <LibControl/LeaseCodec.h>

#include <LibControl/JsonReader.h>
#include <LibCore/SocketAddressText.h>

namespace verbenachute {

namespace {

std::vector<Bucket>
BucketsOfMasks(const Json::Value& aMasks)
{
  if (!aMasks.isObject()) {
    throw MalformedControl("bucket masks are no object");
  }
  std::vector<Bucket> buckets;
  for (const std::string& domain : aMasks.getMemberNames()) {
    const std::uint64_t mask = RequiredNumber(aMasks, domain.c_str());
    if (mask >= (1ULL << kBucketsPerDomain)) {
      throw MalformedControl("a bucket mask is too large");
    }
    for (std::uint16_t index = 0; index < kBucketsPerDomain; ++index) {
      if ((mask & (1ULL << index)) != 0) {
        buckets.push_back(Bucket{ FailureDomain(domain), index });
      }
    }
  }
  return buckets;
}

Json::Value
WriteHolders(const std::vector<BucketHolder>& aHolders)
{
  Json::Value list(Json::arrayValue);
  for (const BucketHolder& holder : aHolders) {
    Json::Value item;
    item["domain"] = holder.mBucket.mDomain.value();
    item["index"] = holder.mBucket.mIndex;
    item["holder"] = NodeIdentityText(holder.mHolder);
    list.append(std::move(item));
  }
  return list;
}

std::vector<BucketHolder>
ReadHolders(const Json::Value& aList)
{
  std::vector<BucketHolder> holders;
  for (const Json::Value& item : aList) {
    const std::uint64_t index = RequiredNumber(item, "index");
    if (index >= kBucketsPerDomain) {
      throw MalformedControl("a bucket index is too large");
    }
    holders.push_back(
      BucketHolder{ Bucket{ FailureDomain(RequiredText(item, "domain")),
                            static_cast<std::uint16_t>(index) },
                    RequiredIdentity(item, "holder") });
  }
  return holders;
}

LeaseRequest
RequestOf(const Json::Value& aValue)
{
  LeaseRequest request;
  request.mHolder = RequiredIdentity(aValue, "holder");
  request.mEpoch = RosterEpoch(RequiredNumber(aValue, "epoch"));
  request.mRound = RequiredNumber(aValue, "round");
  request.mBuckets = BucketsOfMasks(RequiredMember(aValue, "buckets"));
  request.mDuration =
    Duration(static_cast<Duration::rep>(RequiredNumber(aValue, "duration_us")));
  request.mRevision = Revision(RequiredNumber(aValue, "revision"));
  return request;
}

LeaseReply
ReplyOf(const Json::Value& aValue)
{
  LeaseReply reply;
  reply.mVoter = RequiredIdentity(aValue, "voter");
  reply.mHolder = RequiredIdentity(aValue, "holder");
  reply.mEpoch = RosterEpoch(RequiredNumber(aValue, "epoch"));
  reply.mRound = RequiredNumber(aValue, "round");
  reply.mGranted = BucketsOfMasks(RequiredMember(aValue, "granted"));
  reply.mRefused = ReadHolders(RequiredArray(aValue, "refused"));
  reply.mContenders = ReadHolders(RequiredArray(aValue, "contenders"));
  reply.mRevision = Revision(RequiredNumber(aValue, "revision"));
  return reply;
}

LeaseRelease
ReleaseOf(const Json::Value& aValue)
{
  LeaseRelease release;
  release.mHolder = RequiredIdentity(aValue, "holder");
  release.mRound = RequiredNumber(aValue, "round");
  release.mBuckets = BucketsOfMasks(RequiredMember(aValue, "buckets"));
  return release;
}

Roster
RosterOf(const Json::Value& aValue)
{
  Roster roster;
  roster.mEpoch = RosterEpoch(RequiredNumber(aValue, "epoch"));
  for (const Json::Value& voter : RequiredArray(aValue, "voters")) {
    if (!voter.isString()) {
      throw MalformedControl("a voter is no string");
    }
    roster.mVoters.emplace_back(voter.asString());
  }
  return roster;
}

} // namespace

Json::Value
BucketMasks(const std::vector<Bucket>& aBuckets)
{
  Json::Value masks(Json::objectValue);
  for (const Bucket& bucket : aBuckets) {
    Json::Value& mask = masks[bucket.mDomain.value()];
    const Json::UInt earlier = mask.isNull() ? 0 : mask.asUInt();
    mask = earlier | (1U << bucket.mIndex);
  }
  return masks;
}

Result<std::vector<Bucket>>
ReadBucketMasks(const Json::Value& aValue)
{
  return ReadMessage(aValue, BucketsOfMasks);
}

Json::Value
WriteLeaseRequest(const LeaseRequest& aRequest)
{
  Json::Value value;
  value["holder"] = NodeIdentityText(aRequest.mHolder);
  value["epoch"] = Json::UInt64(aRequest.mEpoch.value());
  value["round"] = Json::UInt64(aRequest.mRound);
  value["buckets"] = BucketMasks(aRequest.mBuckets);
  value["duration_us"] = Json::Int64(aRequest.mDuration.count());
  value["revision"] = Json::UInt64(aRequest.mRevision.value());
  return value;
}

Result<LeaseRequest>
ReadLeaseRequest(const Json::Value& aValue)
{
  return ReadMessage(aValue, RequestOf);
}

Json::Value
WriteLeaseReply(const LeaseReply& aReply)
{
  Json::Value value;
  value["voter"] = NodeIdentityText(aReply.mVoter);
  value["holder"] = NodeIdentityText(aReply.mHolder);
  value["epoch"] = Json::UInt64(aReply.mEpoch.value());
  value["round"] = Json::UInt64(aReply.mRound);
  value["granted"] = BucketMasks(aReply.mGranted);
  value["refused"] = WriteHolders(aReply.mRefused);
  value["contenders"] = WriteHolders(aReply.mContenders);
  value["revision"] = Json::UInt64(aReply.mRevision.value());
  return value;
}

Result<LeaseReply>
ReadLeaseReply(const Json::Value& aValue)
{
  return ReadMessage(aValue, ReplyOf);
}

Json::Value
WriteLeaseRelease(const LeaseRelease& aRelease)
{
  Json::Value value;
  value["holder"] = NodeIdentityText(aRelease.mHolder);
  value["round"] = Json::UInt64(aRelease.mRound);
  value["buckets"] = BucketMasks(aRelease.mBuckets);
  return value;
}

Result<LeaseRelease>
ReadLeaseRelease(const Json::Value& aValue)
{
  return ReadMessage(aValue, ReleaseOf);
}

Json::Value
WriteRoster(const Roster& aRoster)
{
  Json::Value value;
  value["epoch"] = Json::UInt64(aRoster.mEpoch.value());
  value["voters"] = Json::arrayValue;
  for (const NodeName& voter : aRoster.mVoters) {
    value["voters"].append(voter.value());
  }
  return value;
}

Result<Roster>
ReadRoster(const Json::Value& aValue)
{
  return ReadMessage(aValue, RosterOf);
}

} // namespace verbenachute
