#include <LibPlatform/PlatformReplyParser.h>

#include <LibCore/SocketAddressText.h>
#include <LibJson/JsonText.h>

#include <json/json.h>

namespace verbenachute {

namespace {

// A list of all VMs of the fleet, or a value of 1 MiB with its escapes.
constexpr std::size_t kMaximumBodyBytes = 8UL * 1024 * 1024;
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

Error
StoreError(ErrorCode aCode, const std::string& aMessage)
{
  return Error{ Step::Store, aCode, "", aMessage };
}

Error
StatusError(const HttpReply& aReply)
{
  return StoreError(ErrorCode::Unavailable,
                    "the key-value service answered with status " +
                      std::to_string(aReply.mStatus));
}

Result<Json::Value>
ParseObject(const std::string& aBody)
{
  Result<Json::Value> value = ParseJson(aBody, kMaximumBodyBytes);
  if (IsError(value) || !ValueOf(value).isObject()) {
    return StoreError(ErrorCode::Internal,
                      "the key-value service sent malformed JSON");
  }
  return value;
}

Result<VmEntry>
ParseVm(const Json::Value& aValue)
{
  const Result<SocketAddress> caller =
    ParseSocketAddress(aValue.get("caller", "").asString());
  const Result<SocketAddress> peer =
    ParseSocketAddress(aValue.get("peer", "").asString());
  const Result<SocketAddress> operatorAddress =
    ParseSocketAddress(aValue.get("operator", "").asString());
  for (const Result<SocketAddress>* address :
       { &caller, &peer, &operatorAddress }) {
    if (IsError(*address)) {
      return ErrorOf(*address);
    }
  }
  return VmEntry{ NodeName(aValue.get("name", "").asString()),
                  ValueOf(caller),
                  ValueOf(peer),
                  ValueOf(operatorAddress),
                  FailureDomain(aValue.get("domain", "").asString()),
                  Region(aValue.get("region", "").asString()),
                  aValue.get("state", "live").asString() == "leaving"
                    ? VmState::Leaving
                    : VmState::Live };
}

} // namespace

Result<std::optional<StoredValue>>
ParseStoredValue(const Result<HttpReply>& aReply)
{
  if (IsError(aReply)) {
    return ErrorOf(aReply);
  }
  const HttpReply& reply = ValueOf(aReply);
  if (reply.mStatus == kNotFound || reply.mStatus == kNoContent) {
    return std::optional<StoredValue>();
  }
  if (reply.mStatus != kOk) {
    return StatusError(reply);
  }
  const Result<Json::Value> parsed = ParseObject(reply.mBody);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  const Json::Value& value = ValueOf(parsed);
  if (!value["value"].isString() || !value["revision"].isUInt64()) {
    return StoreError(ErrorCode::Internal,
                      "the key-value service sent no value or no revision");
  }
  return std::optional<StoredValue>(StoredValue{
    value["value"].asString(), KeyRevision(value["revision"].asUInt64()) });
}

Result<SwapOutcome>
ParseSwapOutcome(const Result<HttpReply>& aReply)
{
  if (IsError(aReply)) {
    return ErrorOf(aReply);
  }
  const HttpReply& reply = ValueOf(aReply);
  if (reply.mStatus != kOk && reply.mStatus != kConflict) {
    return StatusError(reply);
  }
  const Result<Json::Value> parsed = ParseObject(reply.mBody);
  if (IsError(parsed) || !ValueOf(parsed)["revision"].isUInt64()) {
    // The write may have taken effect, whatever the reply looks like.
    return StoreError(ErrorCode::OutcomeUnknown,
                      "the key-value service sent a malformed reply");
  }
  return SwapOutcome{ reply.mStatus == kOk ? SwapResult::Swapped
                                           : SwapResult::Conflict,
                      KeyRevision(ValueOf(parsed)["revision"].asUInt64()) };
}

Result<std::vector<VmEntry>>
ParseVmList(const Result<HttpReply>& aReply)
{
  if (IsError(aReply)) {
    return ErrorOf(aReply);
  }
  if (ValueOf(aReply).mStatus != kOk) {
    return StatusError(ValueOf(aReply));
  }
  const Result<Json::Value> parsed = ParseObject(ValueOf(aReply).mBody);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  const Json::Value& list = ValueOf(parsed)["vms"];
  if (!list.isArray()) {
    return StoreError(ErrorCode::Internal, "the VM list is no array");
  }
  std::vector<VmEntry> entries;
  for (const Json::Value& item : list) {
    if (!item.isObject()) {
      return StoreError(ErrorCode::Internal, "a VM is no object");
    }
    Result<VmEntry> entry = ParseVm(item);
    if (IsError(entry)) {
      return ErrorOf(entry);
    }
    entries.push_back(ReleaseValue(std::move(entry)));
  }
  return entries;
}

} // namespace verbenachute
