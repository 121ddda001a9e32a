#pragma once

#include "SearcherRecord.h"
#include "ServiceTime.h"
#include "TargetSettings.h"

#include <Common/HttpServer.h>

#include <map>
#include <optional>
#include <string>

namespace verbenachute::standins {

/// One searcher at its own address, with slots, a connection cap, index
/// versions and the faults that it is told to have.
class Searcher final : public HttpHandler
{
public:
  Searcher(EventLoop& aLoop, TargetSettings aSettings, std::uint64_t aSeed);

  [[nodiscard]] const TargetSettings& Settings() const { return mSettings; }
  [[nodiscard]] const SearcherRecord& Record() const { return mRecord; }

  Acceptance ConnectionArrived(std::size_t aOpen) override;
  void RequestReceived(const HttpRequest& aRequest) override;

  // Commands, by the name under which the control port takes them.

  /// "publish" with "version" and "shard_count".
  void Publish(const Json::Value& aParameters);
  /// "drop_version" with "version".
  void DropVersion(const Json::Value& aParameters);
  void Drain(const Json::Value& aParameters);
  void Undrain(const Json::Value& aParameters);
  /// "cold" with "seconds".
  void TurnCold(const Json::Value& aParameters);
  /// "crash" with "seconds" of absence, after which it is cold for as long.
  void Crash(const Json::Value& aParameters);
  void Hang(const Json::Value& aParameters);
  void Unhang(const Json::Value& aParameters);
  /// "slow" with "factor".
  void Slow(const Json::Value& aParameters);
  /// "stragglers" with "probability" and "factor".
  void Stragglers(const Json::Value& aParameters);
  /// "mislead" with "status" and "running", which are then told instead of
  /// the truth; without them the truth is told again.
  void Mislead(const Json::Value& aParameters);
  /// "lag" with "ms": health and load are told as they were so long ago.
  void Lag(const Json::Value& aParameters);
  /// "taken_out" and "returned" mark the time for the record only.
  void TakenOut(const Json::Value& aParameters);
  void Returned(const Json::Value& aParameters);

private:
  enum class Temperature
  {
    Warm,
    Cold,
    /// Refuses connections after a crash.
    Down,
  };

  struct Running
  {
    ConnectionId mConnection;
    std::size_t mRecordNumber = 0;
    ShardId mShard;
    IndexVersion mVersion;
    std::string mQuery;
    std::size_t mLimit = 0;
    TimerId mEnd;
    TimerId mDeadline;
  };

  /// Health and load as they were at one moment.
  struct Sample
  {
    Instant mTaken;
    std::string mStatus;
    std::uint32_t mRunning = 0;
    std::size_t mConnections = 0;
  };

  void Query(const HttpRequest& aRequest);
  void Cancel(const HttpRequest& aRequest);
  void TellVersions(const HttpRequest& aRequest);
  void TellHealth(const HttpRequest& aRequest);
  void TellLoad(const HttpRequest& aRequest);

  [[nodiscard]] Json::Value VersionsBody() const;
  [[nodiscard]] bool Holds(IndexVersion aVersion, ShardId aShard) const;
  [[nodiscard]] std::uint32_t SlotsNow() const;
  [[nodiscard]] const Sample& CurrentSample();
  void Shed(ConnectionId aConnection);
  void Start(ConnectionId aConnection,
             const Json::Value& aQuery,
             Duration aTimeLeft);
  void Finish(const std::string& aAttempt);
  void Stop(const std::string& aAttempt, Ending aEnding);
  void GoDown(Duration aAbsence, Duration aCold);
  void StayCold(Duration aCold);

  EventLoop& mLoop;
  TargetSettings mSettings;
  ServiceTime mServiceTime;
  SearcherRecord mRecord;
  Temperature mTemperature = Temperature::Warm;
  bool mDraining = false;
  bool mHung = false;
  std::string mToldStatus;
  std::optional<std::uint32_t> mToldRunning;
  Duration mLag{ 0 };
  Sample mSample;
  std::uint32_t mShedWhileCold = 0;
  Instant mShedWindowStart;
  TimerId mWarmTimer;
  std::map<std::string, Running> mRunning;
  HttpServer mServer;
};

} // namespace verbenachute::standins
