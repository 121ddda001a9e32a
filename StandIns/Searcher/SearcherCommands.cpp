// The commands of the control port; what they change shows in Searcher.cpp.
#include "Searcher.h"

namespace verbenachute::standins {

namespace {

constexpr double kDefaultSeconds = 3;

Duration
SecondsField(const Json::Value& aParameters)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    aParameters.get("seconds", kDefaultSeconds).asDouble()));
}

} // namespace

void
Searcher::Publish(const Json::Value& aParameters)
{
  const IndexVersion version(aParameters["version"].asUInt64());
  mSettings.mVersions[version] = aParameters["shard_count"].asUInt();
}

void
Searcher::DropVersion(const Json::Value& aParameters)
{
  mSettings.mVersions.erase(IndexVersion(aParameters["version"].asUInt64()));
}

void
Searcher::Drain(const Json::Value&)
{
  mDraining = true;
}

void
Searcher::Undrain(const Json::Value&)
{
  mDraining = false;
}

void
Searcher::TurnCold(const Json::Value& aParameters)
{
  StayCold(SecondsField(aParameters));
}

void
Searcher::Crash(const Json::Value& aParameters)
{
  mRecord.Crashed();
  GoDown(SecondsField(aParameters), SecondsField(aParameters));
}

void
Searcher::Hang(const Json::Value&)
{
  mHung = true;
}

void
Searcher::Unhang(const Json::Value&)
{
  mHung = false;
}

void
Searcher::Slow(const Json::Value& aParameters)
{
  mServiceTime.SetFactor(aParameters.get("factor", 1).asDouble());
}

void
Searcher::Stragglers(const Json::Value& aParameters)
{
  mServiceTime.SetStragglers(aParameters.get("probability", 0).asDouble(),
                             aParameters.get("factor", 1).asDouble());
}

void
Searcher::Mislead(const Json::Value& aParameters)
{
  mToldStatus = aParameters.get("status", "").asString();
  mToldRunning.reset();
  if (aParameters["running"].isUInt()) {
    mToldRunning = aParameters["running"].asUInt();
  }
}

void
Searcher::Lag(const Json::Value& aParameters)
{
  mLag = milliseconds(aParameters.get("ms", 0).asInt64());
}

void
Searcher::TakenOut(const Json::Value&)
{
  mRecord.TakenOut(mLoop.WallTime());
}

void
Searcher::Returned(const Json::Value&)
{
  mRecord.Returned();
}

} // namespace verbenachute::standins
