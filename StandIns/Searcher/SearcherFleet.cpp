#include "SearcherFleet.h"

#include <Common/JsonText.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace verbenachute::standins {

namespace {

using CommandMethod = void (Searcher::*)(const Json::Value&);

const std::map<std::string, CommandMethod> kCommands = {
  { "publish", &Searcher::Publish },
  { "drop_version", &Searcher::DropVersion },
  { "drain", &Searcher::Drain },
  { "undrain", &Searcher::Undrain },
  { "cold", &Searcher::TurnCold },
  { "crash", &Searcher::Crash },
  { "hang", &Searcher::Hang },
  { "unhang", &Searcher::Unhang },
  { "slow", &Searcher::Slow },
  { "stragglers", &Searcher::Stragglers },
  { "mislead", &Searcher::Mislead },
  { "lag", &Searcher::Lag },
  { "taken_out", &Searcher::TakenOut },
  { "returned", &Searcher::Returned },
};

bool
HasName(const TargetSettings& aTarget, const Json::Value& aNames)
{
  return std::any_of(
    aNames.begin(), aNames.end(), [&aTarget](const Json::Value& aName) {
      return aName.asString() == aTarget.mName.value();
    });
}

bool
IsChosen(const TargetSettings& aTarget, const Json::Value& aCommand)
{
  const bool named =
    !aCommand.isMember("targets") || HasName(aTarget, aCommand["targets"]);
  const bool inDomain =
    aCommand.get("domain", aTarget.mDomain.value()).asString() ==
    aTarget.mDomain.value();
  const bool ofService =
    aCommand.get("service", aTarget.mService.value()).asString() ==
    aTarget.mService.value();
  return named && inDomain && ofService;
}

} // namespace

SearcherFleet::SearcherFleet(EventLoop& aLoop,
                             SocketAddress aControl,
                             const std::vector<TargetSettings>& aTargets,
                             std::uint64_t aSeed)
  : mServer(aLoop, std::move(aControl), *this)
{
  for (const TargetSettings& target : aTargets) {
    mSearchers.push_back(std::make_unique<Searcher>(aLoop, target, aSeed));
  }
}

void
SearcherFleet::RequestReceived(const HttpRequest& aRequest)
{
  if (aRequest.mMethod == "POST" && aRequest.mPath == "/control") {
    Command(aRequest);
  } else if (aRequest.mPath == "/control/record") {
    TellRecord(aRequest);
  } else if (aRequest.mPath == "/control/executions") {
    TellExecutions(aRequest);
  } else {
    mServer.Reply(aRequest.mConnection, 404, Json::Value(Json::objectValue));
  }
}

void
SearcherFleet::Command(const HttpRequest& aRequest)
{
  const std::optional<Json::Value> command = ParseJsonObject(aRequest.mBody);
  const auto method = command
                        ? kCommands.find(command->get("command", "").asString())
                        : kCommands.end();
  if (method == kCommands.end()) {
    mServer.Reply(aRequest.mConnection, 400, Json::Value(Json::objectValue));
    return;
  }
  Json::Value reply;
  reply["applied"] = 0;
  for (const std::unique_ptr<Searcher>& searcher : mSearchers) {
    if (IsChosen(searcher->Settings(), *command)) {
      ((*searcher).*method->second)(*command);
      reply["applied"] = reply["applied"].asUInt() + 1;
    }
  }
  mServer.Reply(aRequest.mConnection, 200, reply);
}

void
SearcherFleet::TellRecord(const HttpRequest& aRequest)
{
  Json::Value body;
  body["targets"] = Json::Value(Json::objectValue);
  for (const std::unique_ptr<Searcher>& searcher : mSearchers) {
    const TargetSettings& settings = searcher->Settings();
    Json::Value summary = searcher->Record().Summary();
    summary["domain"] = settings.mDomain.value();
    summary["service"] = settings.mService.value();
    summary["slots"] = settings.mSlots;
    summary["connections"] = settings.mConnections;
    body["targets"][settings.mName.value()] = std::move(summary);
  }
  mServer.Reply(aRequest.mConnection, 200, body);
}

void
SearcherFleet::TellExecutions(const HttpRequest& aRequest)
{
  std::string lines;
  for (const std::unique_ptr<Searcher>& searcher : mSearchers) {
    searcher->Record().AppendLines(searcher->Settings().mName.value(), &lines);
  }
  mServer.ReplyText(aRequest.mConnection, 200, lines);
}

} // namespace verbenachute::standins
