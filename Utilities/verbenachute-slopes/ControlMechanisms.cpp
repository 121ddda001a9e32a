#include "Mechanisms.h"
#include "SyntheticSite.h"

#include <LibConfiguration/ConfigurationCodec.h>
#include <LibControl/LeaseCodec.h>
#include <LibControl/MemberCodec.h>
#include <LibCore/Verify.h>
#include <LibDispatch/DispatchGate.h>
#include <LibJson/JsonText.h>
#include <LibLease/LeaseVoter.h>
#include <LibMembership/MemberTable.h>

namespace verbenachute {

namespace {

const NodeIdentity kNode{ NodeName("node-1"), Incarnation(1) };

/// A holder that may always dispatch.
class EveryBucket final : public LeaseAuthority
{
public:
  [[nodiscard]] bool MayDispatch(const Bucket&, Instant) const override
  {
    return true;
  }
  [[nodiscard]] Revision RequiredRevision() const override
  {
    return Revision(1);
  }
};

MemberDescription
Describe(std::size_t aNumber)
{
  MemberDescription member;
  member.mIdentity =
    NodeIdentity{ NodeName("node-" + std::to_string(aNumber)), Incarnation(7) };
  const std::string host = "10.1." + std::to_string(aNumber / 250) + "." +
                           std::to_string(1 + aNumber % 250);
  member.mCallerAddress = SocketAddress{ host, 7001 };
  member.mPeerAddress = SocketAddress{ host, 7101 };
  member.mOperatorAddress = SocketAddress{ host, 7201 };
  member.mDomain = FailureDomain("domain-" + std::to_string(aNumber % 14));
  member.mRegion = Region("region-" + std::to_string(aNumber % 5));
  member.mBuckets = { MemberBuckets{ member.mDomain, 3 } };
  return member;
}

SubQuery
SubQueryFor(const TargetName& aTarget, std::uint64_t aNumber)
{
  SubQuery subQuery;
  subQuery.mQuery = QueryId(aNumber);
  subQuery.mAttempt = AttemptId(aNumber);
  subQuery.mTarget = aTarget;
  subQuery.mService = SyntheticSite::Service();
  subQuery.mFingerprint = Fingerprint(aNumber);
  subQuery.mVersion = IndexVersion(1);
  subQuery.mTimeLeft = milliseconds(500);
  return subQuery;
}

std::optional<DispatchId>
SentIn(const DispatchActions& aActions)
{
  for (const DispatchAction& action : aActions) {
    if (const SendToTarget* send = std::get_if<SendToTarget>(&action)) {
      return send->mDispatch;
    }
  }
  return std::nullopt;
}

} // namespace

Measurement
MeasureGate()
{
  constexpr std::size_t kSubQueries = 20'000;
  Measurement measurement{
    "dispatch gate", "targets held", "one sub-query in and its reply out", {}
  };
  for (const std::size_t targets : { 12UL, 48UL, 192UL, 768UL }) {
    const SyntheticSite site(targets);
    const EveryBucket authority;
    DispatchGate gate(kNode, DispatchSettings(), authority);
    Instant now(seconds(1));
    static_cast<void>(gate.OnConfiguration(site.View(), now));
    for (const FailureDomain& domain : SyntheticSite::Domains()) {
      for (const Bucket& bucket : BucketsOf(domain)) {
        static_cast<void>(gate.OnBucketGained(bucket, now));
      }
    }
    const std::vector<TargetName>& names = site.View()->AllTargets();
    for (const TargetName& name : names) {
      static_cast<void>(gate.OnProbeReply(
        name, { HeldVersion{ IndexVersion(1), 1, { ShardId(0) } } }, now));
    }
    std::uint64_t number = 0;
    std::size_t sent = 0;
    const double time = MedianNanoseconds(kSubQueries, [&]() {
      for (std::size_t index = 0; index < kSubQueries; ++index) {
        now += microseconds(50);
        ++number;
        const std::optional<DispatchId> dispatch = SentIn(gate.OnSubQuery(
          SubQueryFor(names[number % names.size()], number), kNode, now));
        if (!dispatch.has_value()) {
          continue;
        }
        ++sent;
        TargetReply reply;
        reply.mVerdict = TargetVerdict::Answered;
        reply.mVersion = IndexVersion(1);
        static_cast<void>(
          gate.OnTargetReply(*dispatch, reply, now + microseconds(20)));
      }
    });
    // A refused sub-query would make the gate look cheaper than it is.
    VERIFY(sent == number);
    measurement.mSamples.push_back(Sample{ targets, time, 0 });
  }
  return measurement;
}

Measurement
MeasureLease()
{
  constexpr std::size_t kRequests = 2000;
  Measurement measurement{ "lease voter",
                           "buckets of a request",
                           "one request with its JSON both ways",
                           {} };
  for (const std::size_t buckets : { 1UL, 4UL, 16UL, 48UL }) {
    const LeaseSettings settings;
    Instant now(seconds(100));
    LeaseVoter voter(kNode, settings, Instant(seconds(0)));
    voter.OnStoreRoster(Roster{ RosterEpoch(1), { kNode.mName } });
    LeaseRequest request;
    request.mHolder = kNode;
    request.mEpoch = RosterEpoch(1);
    request.mDuration = settings.mDuration;
    for (std::size_t index = 0; index < buckets; ++index) {
      request.mBuckets.push_back(
        Bucket{ FailureDomain("domain-" + std::to_string(index / 16)),
                static_cast<std::uint16_t>(index % 16) });
    }
    std::size_t bytes = 0;
    const double time = MedianNanoseconds(kRequests, [&]() {
      for (std::size_t index = 0; index < kRequests; ++index) {
        now += milliseconds(1);
        ++request.mRound;
        const std::string question = CompactJson(WriteLeaseRequest(request));
        voter.OnTimer(now);
        const std::string answer =
          CompactJson(WriteLeaseReply(voter.OnRequest(request, now)));
        bytes = question.size() + answer.size();
      }
    });
    measurement.mSamples.push_back(
      Sample{ buckets, time, static_cast<double>(bytes) });
  }
  return measurement;
}

Measurement
MeasureMembership()
{
  Measurement measurement{
    "membership", "nodes known", "one period: tick and heartbeats written", {}
  };
  for (const std::size_t nodes : { 9UL, 90UL, 900UL, 7300UL }) {
    constexpr std::size_t kPeriods = 20;
    Instant now(seconds(1));
    MemberTable table(Describe(0), MemberSettings(), 1, now);
    for (std::size_t number = 1; number < nodes; ++number) {
      MemberHeartbeat heartbeat;
      heartbeat.mSender = Describe(number);
      heartbeat.mCounter = 1;
      static_cast<void>(table.OnHeartbeat(heartbeat, now));
    }
    std::size_t bytes = 0;
    const double time = MedianNanoseconds(kPeriods, [&]() {
      for (std::size_t period = 0; period < kPeriods; ++period) {
        now += milliseconds(500);
        bytes = 0;
        const MemberActions actions = table.Tick(now);
        for (const OutgoingHeartbeat& heartbeat : actions.mSend) {
          bytes += CompactJson(WriteHeartbeat(heartbeat.mHeartbeat)).size();
        }
      }
    });
    measurement.mSamples.push_back(
      Sample{ nodes, time, static_cast<double>(bytes) });
  }
  return measurement;
}

Measurement
MeasureConfiguration()
{
  Measurement measurement{
    "configuration", "targets registered", "decoding a whole revision", {}
  };
  for (const std::size_t targets : { 840UL, 8400UL, 42'000UL, 84'000UL }) {
    const SyntheticSite site(targets);
    const Result<EncodedConfiguration> encoded = ConfigurationCodec::Encode(
      *site.View(), ConfigurationHead(), PartTag("slopes"));
    VERIFY(!IsError(encoded));
    double bytes = 0;
    for (const ConfigurationParts::value_type& part : ValueOf(encoded).mParts) {
      bytes += static_cast<double>(part.second->size());
    }
    const double time = MedianNanoseconds(1, [&]() {
      VERIFY(!IsError(ConfigurationCodec::Decode(ValueOf(encoded).mHead,
                                                 ValueOf(encoded).mParts)));
    });
    measurement.mSamples.push_back(Sample{ targets, time, bytes });
  }
  return measurement;
}

} // namespace verbenachute
