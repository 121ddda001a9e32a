#include <LibControl/ControlServer.h>
#include <LibControl/LeaseCodec.h>
#include <LibControl/TargetStateCodec.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

const NodeIdentity kNode{ NodeName("node-1"), Incarnation(5) };
const FailureDomain kDomain("caxias-a");

} // namespace

TEST_CASE("Lease messages are read as they were written")
{
  LeaseRequest request;
  request.mHolder = kNode;
  request.mEpoch = RosterEpoch(3);
  request.mRound = 9;
  request.mBuckets = { Bucket{ kDomain, 0 }, Bucket{ kDomain, 15 } };
  request.mDuration = seconds(2);
  request.mRevision = Revision(7);
  CHECK(ValueOf(ReadLeaseRequest(WriteLeaseRequest(request))) == request);

  LeaseReply reply;
  reply.mVoter = kNode;
  reply.mHolder = kNode;
  reply.mGranted = request.mBuckets;
  reply.mRefused = { BucketHolder{ Bucket{ kDomain, 2 }, kNode } };
  CHECK(ValueOf(ReadLeaseReply(WriteLeaseReply(reply))) == reply);

  const Roster roster{ RosterEpoch(2), { NodeName("a"), NodeName("b") } };
  CHECK(ValueOf(ReadRoster(WriteRoster(roster))) == roster);
}

TEST_CASE("Target states are read as they were written")
{
  const TargetState state{ TargetName("doca-1"),
                           TargetCondition::Warming,
                           { HeldVersion{
                             IndexVersion(4), 8, { ShardId(1), ShardId(7) } } },
                           12 };
  const std::vector<TargetState> states{ state };
  CHECK(ValueOf(ReadTargetStates(WriteTargetStates(states))) == states);
}

TEST_CASE("Malformed control messages are errors")
{
  CHECK(IsError(ReadLeaseRequest(Json::Value("x"))));
  CHECK(IsError(ReadLeaseReply(Json::Value(Json::objectValue))));
  Json::Value masks;
  masks["caxias-a"] = 1 << 16;
  CHECK(IsError(ReadBucketMasks(masks)));
  Json::Value states = WriteTargetStates(
    { TargetState{ TargetName("t"),
                   TargetCondition::Ready,
                   { HeldVersion{ IndexVersion(1), 1, { ShardId(1) } } },
                   1 } });
  CHECK(IsError(ReadTargetStates(states)));
}

TEST_CASE("The control server answers calls and refuses what it does not know")
{
  ControlMethods methods;
  methods.mHeartbeat = [](const NodeIdentity& aPeer,
                          const Json::Value& aInput) -> Result<Json::Value> {
    Json::Value output;
    output["peer"] = aPeer.mName.value();
    output["number"] = aInput["number"];
    return output;
  };
  ControlServer server(std::move(methods));
  CHECK(server
          .Answer(kNode,
                  R"({"jsonrpc":"2.0","id":4,"method":"heartbeat",)"
                  R"("params":{"number":2}})")
          .find("\"number\":2") != std::string::npos);
  for (const char* request :
       { "",
         "{",
         "[]",
         "{}",
         R"({"jsonrpc":"2.0","id":1,"method":"x"})",
         R"({"jsonrpc":"2.0","id":1,"method":"lease_request","params":{}})" }) {
    CAPTURE(request);
    CHECK(server.Answer(kNode, request).find("\"error\"") != std::string::npos);
  }
}

} // namespace verbenachute
