// The commands of the control port; what they change shows in
// PlatformService.cpp.
#include "PlatformService.h"

#include <Common/JsonText.h>

#include <utility>

namespace verbenachute::standins {

void
PlatformService::Control(const HttpRequest& aRequest)
{
  using Command = void (PlatformService::*)(const Json::Value&);
  static const std::map<std::string, Command> kCommands = {
    { "outage", &PlatformService::BeginOutage },
    { "recover", &PlatformService::EndOutage },
    { "slow", &PlatformService::Slow },
    { "lose_replies", &PlatformService::LoseReplies },
    { "lose_watches", &PlatformService::LoseWatches },
    { "rates", &PlatformService::SetRates },
    { "vms", &PlatformService::SetVms },
    { "vm_state", &PlatformService::SetVmState },
    { "vm_lag", &PlatformService::SetVmLag },
  };
  const std::optional<Json::Value> body = ParseJsonObject(aRequest.mBody);
  const auto command = body
                         ? kCommands.find(body->get("command", "").asString())
                         : kCommands.end();
  const bool known = command != kCommands.end();
  if (known) {
    (this->*command->second)(*body);
  }
  mServer.Reply(
    aRequest.mConnection, known ? 200 : 400, Json::Value(Json::objectValue));
}

void
PlatformService::BeginOutage(const Json::Value& aParameters)
{
  mFaults.mOutage = aParameters.get("mode", "errors").asString() == "silence"
                      ? Faults::Outage::Silence
                      : Faults::Outage::Errors;
  // A watch that was waiting is lost with the service.
  LoseWatches(aParameters);
  mLoop.Cancel(mOutageEnd);
  if (aParameters.isMember("seconds")) {
    mOutageEnd = mLoop.After(seconds(aParameters["seconds"].asInt64()),
                             [this]() { EndOutage(Json::Value()); });
  }
}

void
PlatformService::EndOutage(const Json::Value&)
{
  mLoop.Cancel(mOutageEnd);
  mFaults.mOutage = Faults::Outage::None;
}

void
PlatformService::Slow(const Json::Value& aParameters)
{
  mFaults.mDelay = milliseconds(aParameters.get("ms", 0).asInt64());
}

void
PlatformService::LoseReplies(const Json::Value& aParameters)
{
  mFaults.mRepliesToLose = aParameters.get("count", 1).asUInt64();
}

void
PlatformService::LoseWatches(const Json::Value&)
{
  for (const Watch& watch : mWatches) {
    mLoop.Cancel(watch.mTimeout);
  }
  mWatches.clear();
}

void
PlatformService::SetRates(const Json::Value& aParameters)
{
  mCalls.SetRates(aParameters.get("reads_per_second", 0).asUInt64(),
                  aParameters.get("writes_per_second", 0).asUInt64());
}

void
PlatformService::SetVms(const Json::Value& aParameters)
{
  ChangeVms(aParameters["vms"]);
}

void
PlatformService::SetVmState(const Json::Value& aParameters)
{
  Json::Value vms = mVms;
  for (Json::Value& vm : vms) {
    if (vm["name"] == aParameters["name"]) {
      vm["state"] = aParameters["state"];
    }
  }
  ChangeVms(std::move(vms));
}

void
PlatformService::SetVmLag(const Json::Value& aParameters)
{
  mVmLag = milliseconds(aParameters.get("ms", 0).asInt64());
}

void
PlatformService::ChangeVms(Json::Value aVms)
{
  mVms = std::move(aVms);
  if (mVmLag == Duration::zero()) {
    mToldVms = mVms;
    return;
  }
  mLoop.After(mVmLag, [this, told = mVms]() { mToldVms = told; });
}

} // namespace verbenachute::standins
