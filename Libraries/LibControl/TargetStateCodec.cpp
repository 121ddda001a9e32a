#include <LibControl/TargetStateCodec.h>

#include <LibControl/JsonReader.h>

#include <limits>
#include <utility>

namespace verbenachute {

namespace {

std::uint32_t
Narrowed(std::uint64_t aNumber)
{
  if (aNumber > std::numeric_limits<std::uint32_t>::max()) {
    throw MalformedControl("a number is too large");
  }
  return static_cast<std::uint32_t>(aNumber);
}

std::vector<HeldVersion>
VersionsOf(const Json::Value& aList)
{
  if (!aList.isArray()) {
    throw MalformedControl("versions are no array");
  }
  std::vector<HeldVersion> versions;
  for (const Json::Value& item : aList) {
    HeldVersion version;
    version.mVersion = IndexVersion(RequiredNumber(item, "version"));
    version.mShardCount = Narrowed(RequiredNumber(item, "shard_count"));
    for (const Json::Value& shard : RequiredArray(item, "shards")) {
      if (!shard.isUInt64() || shard.asUInt64() >= version.mShardCount) {
        throw MalformedControl("a shard is outside its shard map");
      }
      version.mShards.emplace_back(shard.asUInt());
    }
    versions.push_back(std::move(version));
  }
  return versions;
}

std::vector<TargetState>
StatesOf(const Json::Value& aList)
{
  if (!aList.isArray()) {
    throw MalformedControl("target states are no array");
  }
  std::vector<TargetState> states;
  for (const Json::Value& item : aList) {
    TargetState state;
    state.mTarget = TargetName(RequiredText(item, "target"));
    const std::uint64_t condition = RequiredNumber(item, "condition");
    if (condition > static_cast<std::uint64_t>(TargetCondition::Down)) {
      throw MalformedControl("a target condition is unknown");
    }
    state.mCondition = static_cast<TargetCondition>(condition);
    state.mSequence = RequiredNumber(item, "sequence");
    state.mVersions = VersionsOf(RequiredMember(item, "versions"));
    states.push_back(std::move(state));
  }
  return states;
}

} // namespace

Json::Value
WriteTargetStates(const std::vector<TargetState>& aStates)
{
  Json::Value list(Json::arrayValue);
  for (const TargetState& state : aStates) {
    Json::Value item;
    item["target"] = state.mTarget.value();
    item["condition"] = static_cast<Json::UInt>(state.mCondition);
    item["sequence"] = Json::UInt64(state.mSequence);
    item["versions"] = WriteHeldVersions(state.mVersions);
    list.append(std::move(item));
  }
  return list;
}

Result<std::vector<TargetState>>
ReadTargetStates(const Json::Value& aValue)
{
  return ReadMessage(aValue, StatesOf);
}

Json::Value
WriteHeldVersions(const std::vector<HeldVersion>& aVersions)
{
  Json::Value list(Json::arrayValue);
  for (const HeldVersion& version : aVersions) {
    Json::Value item;
    item["version"] = Json::UInt64(version.mVersion.value());
    item["shard_count"] = version.mShardCount;
    item["shards"] = Json::arrayValue;
    for (const ShardId& shard : version.mShards) {
      item["shards"].append(shard.value());
    }
    list.append(std::move(item));
  }
  return list;
}

Result<std::vector<HeldVersion>>
ReadHeldVersions(const Json::Value& aValue)
{
  return ReadMessage(aValue, VersionsOf);
}

} // namespace verbenachute
