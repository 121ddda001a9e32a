#include "Searcher.h"

#include <Common/IndexData.h>
#include <Common/JsonText.h>

#include <algorithm>
#include <utility>

namespace verbenachute::standins {

namespace {

/// A query with this text in it crashes each searcher that runs it.
constexpr const char* kCrashMarker = "crash-marker";
constexpr Duration kAbsenceAfterCrash = seconds(2);
constexpr Duration kColdAfterCrash = seconds(3);
/// A cold searcher falls over when it has to shed more than this in a window.
constexpr std::uint32_t kMostShedWhileCold = 5;
constexpr Duration kColdShedWindow = seconds(1);

Json::Value
RanBody(bool aRan)
{
  Json::Value body;
  body["ran"] = aRan;
  return body;
}

bool
IsWellFormed(const Json::Value& aQuery)
{
  return aQuery["attempt"].isString() && aQuery["request_id"].isString() &&
         aQuery["shard"].isUInt() && aQuery["version"].isUInt64() &&
         aQuery["query"].isString() && aQuery["limit"].isUInt();
}

} // namespace

Searcher::Searcher(EventLoop& aLoop,
                   TargetSettings aSettings,
                   std::uint64_t aSeed)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mServiceTime(mSettings, aSeed)
  , mServer(aLoop, mSettings.mAddress, *this)
{
  mServer.SetConnectCost(mSettings.mConnectCost);
}

Acceptance
Searcher::ConnectionArrived(std::size_t aOpen)
{
  if (aOpen >= mSettings.mConnections) {
    mRecord.ConnectionRefused();
    return Acceptance::Close;
  }
  mRecord.ConnectionOpened(aOpen + 1);
  return Acceptance::Accept;
}

void
Searcher::RequestReceived(const HttpRequest& aRequest)
{
  if (mHung) {
    return;
  }
  using Handler = void (Searcher::*)(const HttpRequest&);
  static const std::map<std::string, Handler> kHandlers = {
    { "POST /v1/query", &Searcher::Query },
    { "POST /v1/cancel", &Searcher::Cancel },
    { "GET /v1/versions", &Searcher::TellVersions },
    { "GET /v1/health", &Searcher::TellHealth },
    { "GET /v1/load", &Searcher::TellLoad },
  };
  const auto handler = kHandlers.find(aRequest.mMethod + " " + aRequest.mPath);
  if (handler == kHandlers.end()) {
    mServer.Reply(aRequest.mConnection, 404, Json::Value(Json::objectValue));
    return;
  }
  (this->*handler->second)(aRequest);
}

void
Searcher::Query(const HttpRequest& aRequest)
{
  const std::optional<Json::Value> query = ParseJsonObject(aRequest.mBody);
  if (!query || !IsWellFormed(*query)) {
    mServer.Reply(aRequest.mConnection, 400, Json::Value(Json::objectValue));
    return;
  }
  if (mDraining) {
    mServer.Reply(aRequest.mConnection, 410, Json::Value(Json::objectValue));
    return;
  }
  if (!Holds(IndexVersion((*query)["version"].asUInt64()),
             ShardId((*query)["shard"].asUInt()))) {
    mServer.Reply(aRequest.mConnection, 409, VersionsBody());
    return;
  }
  const milliseconds untilDeadline =
    milliseconds((*query)["deadline_unix_ms"].asInt64()) - mLoop.WallTime();
  const Duration timeLeft = std::min<Duration>(
    milliseconds((*query)["deadline_ms"].asInt64()), untilDeadline);
  if (timeLeft <= Duration::zero()) {
    mServer.Reply(aRequest.mConnection, 408, RanBody(false));
    return;
  }
  if (mRunning.size() >= SlotsNow() ||
      mRunning.contains((*query)["attempt"].asString())) {
    Shed(aRequest.mConnection);
    return;
  }
  Start(aRequest.mConnection, *query, timeLeft);
}

void
Searcher::Shed(ConnectionId aConnection)
{
  mRecord.Shed();
  mServer.Reply(aConnection, 429, Json::Value(Json::objectValue));
  if (mTemperature != Temperature::Cold) {
    return;
  }
  const Instant now = mLoop.Now();
  if (now - mShedWindowStart > kColdShedWindow) {
    mShedWindowStart = now;
    mShedWhileCold = 0;
  }
  if (++mShedWhileCold > kMostShedWhileCold) {
    mRecord.FellOver();
    GoDown(kAbsenceAfterCrash, kColdAfterCrash);
  }
}

void
Searcher::Start(ConnectionId aConnection,
                const Json::Value& aQuery,
                Duration aTimeLeft)
{
  const std::string attempt = aQuery["attempt"].asString();
  ExecutionRecord execution;
  execution.mRequest = RequestId(aQuery["request_id"].asString());
  execution.mAttempt = attempt;
  execution.mShard = ShardId(aQuery["shard"].asUInt());
  execution.mVersion = IndexVersion(aQuery["version"].asUInt64());
  execution.mIdempotency = aQuery.get("idempotent", true).asBool()
                             ? Idempotency::Idempotent
                             : Idempotency::NonIdempotent;
  execution.mStart = mLoop.WallTime();

  Running running;
  running.mConnection = aConnection;
  running.mShard = execution.mShard;
  running.mVersion = execution.mVersion;
  running.mQuery = aQuery["query"].asString();
  running.mLimit = aQuery["limit"].asUInt();
  running.mRecordNumber = mRecord.Started(
    std::move(execution), static_cast<std::uint32_t>(mRunning.size() + 1));
  if (running.mQuery.find(kCrashMarker) != std::string::npos) {
    mRunning.emplace(attempt, std::move(running));
    mRecord.Crashed();
    GoDown(kAbsenceAfterCrash, kColdAfterCrash);
    return;
  }
  const double pace =
    mTemperature == Temperature::Cold ? mSettings.mColdFactor : 1;
  const Duration service(static_cast<Duration::rep>(
    static_cast<double>(mServiceTime.Draw().count()) * pace));
  running.mEnd = mLoop.After(service, [this, attempt]() { Finish(attempt); });
  running.mDeadline = mLoop.After(
    aTimeLeft, [this, attempt]() { Stop(attempt, Ending::DeadlinePassed); });
  mRunning.emplace(attempt, std::move(running));
}

void
Searcher::Finish(const std::string& aAttempt)
{
  const Running& running = mRunning.at(aAttempt);
  Json::Value body;
  body["attempt"] = aAttempt;
  body["version"] = Json::UInt64(running.mVersion.value());
  body["shard"] = running.mShard.value();
  body["hits"] = Json::Value(Json::arrayValue);
  for (const Hit& hit : HitsOfShard(mSettings.mService,
                                    running.mVersion,
                                    running.mShard,
                                    running.mQuery,
                                    running.mLimit)) {
    Json::Value entry;
    entry["id"] = hit.mIdentifier;
    entry["score"] = hit.mScore;
    entry["text"] = hit.mText;
    body["hits"].append(std::move(entry));
  }
  mServer.Reply(running.mConnection, 200, body);
  mLoop.Cancel(running.mDeadline);
  mRecord.Ended(running.mRecordNumber, Ending::Answered, mLoop.WallTime());
  mRunning.erase(aAttempt);
}

void
Searcher::Stop(const std::string& aAttempt, Ending aEnding)
{
  const Running& running = mRunning.at(aAttempt);
  mLoop.Cancel(running.mEnd);
  mLoop.Cancel(running.mDeadline);
  mServer.Reply(running.mConnection, 408, RanBody(true));
  mRecord.Ended(running.mRecordNumber, aEnding, mLoop.WallTime());
  mRunning.erase(aAttempt);
}

void
Searcher::Cancel(const HttpRequest& aRequest)
{
  const std::optional<Json::Value> body = ParseJsonObject(aRequest.mBody);
  const std::string attempt =
    body ? body->get("attempt", "").asString() : std::string();
  Json::Value reply;
  reply["cancelled"] = mRunning.contains(attempt);
  if (mRunning.contains(attempt)) {
    mRecord.Cancelled();
    Stop(attempt, Ending::Cancelled);
  }
  mServer.Reply(aRequest.mConnection, 200, reply);
}

void
Searcher::TellVersions(const HttpRequest& aRequest)
{
  mServer.Reply(aRequest.mConnection, 200, VersionsBody());
}

Json::Value
Searcher::VersionsBody() const
{
  Json::Value body;
  body["versions"] = Json::Value(Json::arrayValue);
  for (const auto& [version, shardCount] : mSettings.mVersions) {
    Json::Value entry;
    entry["version"] = Json::UInt64(version.value());
    entry["shard_count"] = shardCount;
    entry["shards"] = Json::Value(Json::arrayValue);
    for (std::uint32_t shard = mSettings.mPosition; shard < shardCount;
         shard += mSettings.mPositions) {
      entry["shards"].append(shard);
    }
    body["versions"].append(std::move(entry));
  }
  return body;
}

bool
Searcher::Holds(IndexVersion aVersion, ShardId aShard) const
{
  const auto found = mSettings.mVersions.find(aVersion);
  return found != mSettings.mVersions.end() && aShard.value() < found->second &&
         aShard.value() % mSettings.mPositions == mSettings.mPosition;
}

std::uint32_t
Searcher::SlotsNow() const
{
  return mTemperature == Temperature::Cold ? mSettings.mColdSlots
                                           : mSettings.mSlots;
}

const Searcher::Sample&
Searcher::CurrentSample()
{
  const Instant now = mLoop.Now();
  if (mLag == Duration::zero() || now - mSample.mTaken >= mLag) {
    mSample.mTaken = now;
    mSample.mStatus = mDraining                           ? "draining"
                      : mTemperature == Temperature::Cold ? "starting"
                                                          : "ok";
    mSample.mRunning = static_cast<std::uint32_t>(mRunning.size());
    mSample.mConnections = mServer.OpenConnections();
  }
  return mSample;
}

void
Searcher::TellHealth(const HttpRequest& aRequest)
{
  Json::Value body;
  body["status"] = mToldStatus.empty() ? CurrentSample().mStatus : mToldStatus;
  mServer.Reply(aRequest.mConnection, 200, body);
}

void
Searcher::TellLoad(const HttpRequest& aRequest)
{
  const Sample& sample = CurrentSample();
  Json::Value body;
  body["running"] = mToldRunning.value_or(sample.mRunning);
  body["slots"] = mSettings.mSlots;
  body["connections"] = Json::UInt64(sample.mConnections);
  mServer.Reply(aRequest.mConnection, 200, body);
}

void
Searcher::GoDown(Duration aAbsence, Duration aCold)
{
  for (const auto& [attempt, running] : mRunning) {
    mLoop.Cancel(running.mEnd);
    mLoop.Cancel(running.mDeadline);
    mRecord.Ended(running.mRecordNumber, Ending::Crashed, mLoop.WallTime());
  }
  mRunning.clear();
  mServer.Close();
  mServer.DropAll();
  mLoop.Cancel(mWarmTimer);
  mTemperature = Temperature::Down;
  mWarmTimer = mLoop.After(aAbsence, [this, aCold]() {
    mServer.Open();
    StayCold(aCold);
  });
}

void
Searcher::StayCold(Duration aCold)
{
  mTemperature = Temperature::Cold;
  mShedWhileCold = 0;
  mLoop.Cancel(mWarmTimer);
  mWarmTimer =
    mLoop.After(aCold, [this]() { mTemperature = Temperature::Warm; });
}

} // namespace verbenachute::standins
