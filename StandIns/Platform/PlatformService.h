#pragma once

#include "CallCounter.h"
#include "Faults.h"
#include "KeyStore.h"

#include <Common/HttpServer.h>

#include <list>
#include <map>
#include <string>

namespace verbenachute::standins {

/// The platform's key-value service and VM list on one port, with the control
/// port's paths beside them.
///
/// POST /control takes {"command":C,...}; see PlatformCommands.cpp. GET
/// /control/record gives the calls that were counted.
class PlatformService final : public HttpHandler
{
public:
  PlatformService(EventLoop& aLoop, SocketAddress aAddress);

  void RequestReceived(const HttpRequest& aRequest) override;

  // Commands, by the name under which POST /control takes them.

  /// "outage" with "mode" "errors" or "silence", and "seconds" or no end.
  void BeginOutage(const Json::Value& aParameters);
  void EndOutage(const Json::Value& aParameters);
  /// "slow" with "ms".
  void Slow(const Json::Value& aParameters);
  /// "lose_replies" with "count".
  void LoseReplies(const Json::Value& aParameters);
  /// "lose_watches": the open watches are never answered.
  void LoseWatches(const Json::Value& aParameters);
  /// "rates" with "reads_per_second" and "writes_per_second"; 0 for no limit.
  void SetRates(const Json::Value& aParameters);
  /// "vms" with "vms", the whole list.
  void SetVms(const Json::Value& aParameters);
  /// "vm_state" with "name" and "state".
  void SetVmState(const Json::Value& aParameters);
  /// "vm_lag" with "ms": changes show in the list so much later.
  void SetVmLag(const Json::Value& aParameters);

private:
  struct Watch
  {
    ConnectionId mConnection;
    std::string mKey;
    KeyRevision mAfter;
    TimerId mTimeout;
  };

  void Dispatch(const HttpRequest& aRequest);
  void Control(const HttpRequest& aRequest);

  void ReadKey(const HttpRequest& aRequest, const std::string& aKey);
  void PutKey(const HttpRequest& aRequest, const std::string& aKey);
  void DeleteKey(const HttpRequest& aRequest, const std::string& aKey);
  void WatchKey(const HttpRequest& aRequest, const std::string& aKey);
  void GrantLease(const HttpRequest& aRequest, const std::string& aRest);
  void RenewLease(const HttpRequest& aRequest, const std::string& aLease);
  void RevokeLease(const HttpRequest& aRequest, const std::string& aLease);
  void TellVms(const HttpRequest& aRequest, const std::string& aRest);

  void ReplyEntry(ConnectionId aConnection,
                  const std::string& aKey,
                  const KeyEntry& aEntry);
  void Reply(ConnectionId aConnection, int aStatus, Json::Value aBody);
  void ReplyToWrite(ConnectionId aConnection, const WriteResult& aResult);
  void AnswerWatches(const std::string& aKey);
  void ChangeVms(Json::Value aVms);
  void ExpireLeases();

  EventLoop& mLoop;
  KeyStore mStore;
  CallCounter mCalls;
  Faults mFaults;
  TimerId mOutageEnd;
  std::list<Watch> mWatches;
  /// The list as it is, and as it is told.
  Json::Value mVms;
  Json::Value mToldVms;
  Duration mVmLag{ 0 };
  HttpServer mServer;
};

} // namespace verbenachute::standins
