#include "TargetSettings.h"

#include <LibCore/SocketAddressText.h>

#include <algorithm>

namespace verbenachute::standins {

namespace {

constexpr std::uint32_t kDefaultSlots = 2;
constexpr std::uint32_t kDefaultConnections = 25;
constexpr double kDefaultServiceMs = 4;
constexpr double kDefaultSigma = 0.3;
constexpr double kDefaultColdFactor = 3;
constexpr double kMicrosecondsPerMillisecond = 1000;

Duration
MillisecondsField(const Json::Value& aEntry, const char* aName, double aDefault)
{
  const double value = aEntry.get(aName, aDefault).asDouble();
  return Duration(
    static_cast<Duration::rep>(value * kMicrosecondsPerMillisecond));
}

} // namespace

Result<TargetSettings>
ReadTargetSettings(const Json::Value& aEntry)
{
  const Result<SocketAddress> address =
    ParseSocketAddress(aEntry.get("address", "").asString());
  if (IsError(address)) {
    return ErrorOf(address);
  }
  TargetSettings settings;
  settings.mAddress = ValueOf(address);
  settings.mName = TargetName(aEntry.get("name", "").asString());
  settings.mService = ServiceName(aEntry.get("service", "").asString());
  settings.mDomain = FailureDomain(aEntry.get("domain", "").asString());
  settings.mSlots = aEntry.get("slots", kDefaultSlots).asUInt();
  settings.mConnections =
    aEntry.get("connections", kDefaultConnections).asUInt();
  settings.mConnectCost = MillisecondsField(aEntry, "connect_cost_ms", 0);
  settings.mPosition = aEntry.get("position", 0).asUInt();
  settings.mPositions = std::max(1U, aEntry.get("positions", 1).asUInt());
  for (const Json::Value& version : aEntry["versions"]) {
    settings.mVersions[IndexVersion(version["version"].asUInt64())] =
      version["shard_count"].asUInt();
  }
  settings.mMedianService =
    MillisecondsField(aEntry, "service_ms", kDefaultServiceMs);
  settings.mSigma = aEntry.get("sigma", kDefaultSigma).asDouble();
  settings.mColdSlots = aEntry.get("cold_slots", 1).asUInt();
  settings.mColdFactor =
    aEntry.get("cold_factor", kDefaultColdFactor).asDouble();
  return settings;
}

} // namespace verbenachute::standins
