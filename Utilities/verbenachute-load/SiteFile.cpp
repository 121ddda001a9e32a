#include "SiteFile.h"

#include <Common/JsonText.h>
#include <LibCore/SocketAddressText.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace verbenachute::load {

namespace {

SiteService
ReadService(const Json::Value& aEntry)
{
  SiteService service;
  service.mName = ServiceName(aEntry["name"].asString());
  service.mClass = CallerClass(aEntry["class"].asString());
  service.mWeight = aEntry.get("weight", 1).asDouble();
  service.mNonIdempotentShare =
    aEntry.get("non_idempotent_share", 0).asDouble();
  for (const Json::Value& version : aEntry["versions"]) {
    service.mVersions[IndexVersion(version["version"].asUInt64())] =
      version["shard_count"].asUInt();
  }
  return service;
}

Result<SiteTarget>
ReadTarget(const Json::Value& aEntry)
{
  Result<SocketAddress> address =
    ParseSocketAddress(aEntry["address"].asString());
  if (IsError(address)) {
    return ErrorOf(address);
  }
  SiteTarget target;
  target.mAddress = ReleaseValue(std::move(address));
  target.mService = ServiceName(aEntry["service"].asString());
  target.mConnections = aEntry["connections"].asUInt();
  target.mPosition = aEntry["position"].asUInt();
  target.mPositions = std::max(1U, aEntry["positions"].asUInt());
  return target;
}

} // namespace

const SiteService*
SiteFile::Find(const ServiceName& aService) const
{
  const auto found = std::find_if(
    mServices.begin(), mServices.end(), [&aService](const SiteService& aEntry) {
      return aEntry.mName == aService;
    });
  return found == mServices.end() ? nullptr : &*found;
}

Result<SiteFile>
ReadSiteFile(const std::string& aPath)
{
  std::stringstream text;
  text << std::ifstream(aPath).rdbuf();
  const std::optional<Json::Value> document =
    standins::ParseJsonObject(text.str());
  if (!document || (*document)["services"].empty()) {
    return Error{ Step::Settings,
                  ErrorCode::InvalidInput,
                  "",
                  "'" + aPath + "' names no services" };
  }
  SiteFile site;
  for (const Json::Value& entry : (*document)["services"]) {
    site.mServices.push_back(ReadService(entry));
  }
  for (const Json::Value& entry : (*document)["targets"]) {
    Result<SiteTarget> target = ReadTarget(entry);
    if (IsError(target)) {
      return ErrorOf(target);
    }
    site.mTargets.push_back(ReleaseValue(std::move(target)));
  }
  return site;
}

} // namespace verbenachute::load
