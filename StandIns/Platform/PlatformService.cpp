#include "PlatformService.h"

#include <Common/JsonText.h>

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace verbenachute::standins {

namespace {

constexpr std::size_t kMaximumValueBytes = 1024UL * 1024;
constexpr Duration kLeaseCheckInterval = milliseconds(50);

Json::Value
RevisionBody(KeyRevision aRevision)
{
  Json::Value body;
  body["revision"] = Json::UInt64(aRevision.value());
  return body;
}

LeaseId
LeaseOf(const std::string& aText)
{
  return LeaseId(std::strtoull(aText.c_str(), nullptr, 10));
}

} // namespace

PlatformService::PlatformService(EventLoop& aLoop, SocketAddress aAddress)
  : mLoop(aLoop)
  , mVms(Json::arrayValue)
  , mToldVms(Json::arrayValue)
  , mServer(aLoop, std::move(aAddress), *this)
{
  ExpireLeases();
}

void
PlatformService::RequestReceived(const HttpRequest& aRequest)
{
  if (aRequest.mPath == "/control/record") {
    mServer.Reply(aRequest.mConnection, 200, mCalls.Summary());
  } else if (aRequest.mPath == "/control") {
    Control(aRequest);
  } else {
    Dispatch(aRequest);
  }
}

void
PlatformService::Dispatch(const HttpRequest& aRequest)
{
  using Handler =
    void (PlatformService::*)(const HttpRequest&, const std::string&);
  struct Route
  {
    const char* mMethod;
    const char* mPrefix;
    const char* mSuffix;
    const char* mName;
    CallKind mKind;
    Handler mHandler;
  };
  static const std::vector<Route> kRoutes = {
    // clang-format off
    { "GET", "/v1/keys/", "", "get", CallKind::Read, &PlatformService::ReadKey },
    { "PUT", "/v1/keys/", "", "put", CallKind::Write, &PlatformService::PutKey },
    { "DELETE", "/v1/keys/", "", "delete", CallKind::Write, &PlatformService::DeleteKey },
    { "GET", "/v1/watch/", "", "watch", CallKind::Read, &PlatformService::WatchKey },
    { "POST", "/v1/leases/", "/renewals", "renew", CallKind::Write, &PlatformService::RenewLease },
    { "POST", "/v1/leases", "", "grant", CallKind::Write, &PlatformService::GrantLease },
    { "DELETE", "/v1/leases/", "", "revoke", CallKind::Write, &PlatformService::RevokeLease },
    { "GET", "/v1/vms", "", "vms", CallKind::Read, &PlatformService::TellVms },
    // clang-format on
  };
  const std::string& path = aRequest.mPath;
  const auto route =
    std::find_if(kRoutes.begin(), kRoutes.end(), [&](const Route& aRoute) {
      return aRequest.mMethod == aRoute.mMethod &&
             path.starts_with(aRoute.mPrefix) && path.ends_with(aRoute.mSuffix);
    });
  if (route == kRoutes.end()) {
    Reply(aRequest.mConnection, 404, RevisionBody(KeyRevision(0)));
    return;
  }
  const CallCounter::Verdict verdict =
    mCalls.Count(route->mName, route->mKind, mLoop.Now());
  if (mFaults.mOutage == Faults::Outage::Silence) {
    return;
  }
  if (mFaults.mOutage == Faults::Outage::Errors) {
    Reply(aRequest.mConnection, 503, Json::Value(Json::objectValue));
    return;
  }
  if (verdict == CallCounter::Verdict::OverRate) {
    Reply(aRequest.mConnection, 429, Json::Value(Json::objectValue));
    return;
  }
  const std::string prefix = route->mPrefix;
  const std::string suffix = route->mSuffix;
  const std::string rest =
    path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
  (this->*route->mHandler)(aRequest, rest);
}

void
PlatformService::ReadKey(const HttpRequest& aRequest, const std::string& aKey)
{
  const KeyEntry* entry = mStore.Find(aKey);
  if (entry) {
    ReplyEntry(aRequest.mConnection, aKey, *entry);
    return;
  }
  Reply(aRequest.mConnection, 404, RevisionBody(KeyRevision(0)));
}

void
PlatformService::PutKey(const HttpRequest& aRequest, const std::string& aKey)
{
  const std::optional<Json::Value> body = ParseJsonObject(aRequest.mBody);
  if (!body || !(*body)["value"].isString() ||
      !(*body)["expected_revision"].isUInt64()) {
    Reply(aRequest.mConnection, 400, Json::Value(Json::objectValue));
    return;
  }
  std::string value = (*body)["value"].asString();
  if (value.size() > kMaximumValueBytes) {
    Reply(aRequest.mConnection, 413, Json::Value(Json::objectValue));
    return;
  }
  std::optional<LeaseId> lease;
  if (body->isMember("lease")) {
    lease = LeaseId((*body)["lease"].asUInt64());
  }
  const WriteResult result =
    mStore.Put(aKey,
               std::move(value),
               KeyRevision((*body)["expected_revision"].asUInt64()),
               lease);
  ReplyToWrite(aRequest.mConnection, result);
  AnswerWatches(aKey);
}

void
PlatformService::DeleteKey(const HttpRequest& aRequest, const std::string& aKey)
{
  ReplyToWrite(
    aRequest.mConnection,
    mStore.Remove(aKey, KeyRevision(aRequest.NumberOf("expected_revision"))));
}

void
PlatformService::ReplyToWrite(ConnectionId aConnection,
                              const WriteResult& aResult)
{
  if (aResult.mOutcome == WriteResult::Outcome::UnknownLease) {
    Reply(aConnection, 404, RevisionBody(aResult.mRevision));
    return;
  }
  if (aResult.mOutcome == WriteResult::Outcome::Conflict) {
    Reply(aConnection, 409, RevisionBody(aResult.mRevision));
    return;
  }
  if (mFaults.mRepliesToLose > 0) {
    --mFaults.mRepliesToLose;
    mServer.Drop(aConnection);
    return;
  }
  Reply(aConnection, 200, RevisionBody(aResult.mRevision));
}

void
PlatformService::WatchKey(const HttpRequest& aRequest, const std::string& aKey)
{
  const KeyRevision after(aRequest.NumberOf("after"));
  const KeyEntry* entry = mStore.Find(aKey);
  if (entry && entry->mRevision > after) {
    ReplyEntry(aRequest.mConnection, aKey, *entry);
    return;
  }
  const auto watch = mWatches.insert(
    mWatches.end(), Watch{ aRequest.mConnection, aKey, after, TimerId() });
  const milliseconds wait(aRequest.NumberOf("wait_ms"));
  watch->mTimeout = mLoop.After(wait, [this, watch]() {
    Reply(watch->mConnection, 204, Json::Value(Json::objectValue));
    mWatches.erase(watch);
  });
}

void
PlatformService::AnswerWatches(const std::string& aKey)
{
  const KeyEntry* entry = mStore.Find(aKey);
  for (auto watch = mWatches.begin(); entry && watch != mWatches.end();) {
    if (watch->mKey == aKey && entry->mRevision > watch->mAfter) {
      mLoop.Cancel(watch->mTimeout);
      ReplyEntry(watch->mConnection, aKey, *entry);
      watch = mWatches.erase(watch);
    } else {
      ++watch;
    }
  }
}

void
PlatformService::GrantLease(const HttpRequest& aRequest, const std::string&)
{
  const std::optional<Json::Value> body = ParseJsonObject(aRequest.mBody);
  if (!body || !(*body)["time_to_live_ms"].isUInt64()) {
    Reply(aRequest.mConnection, 400, Json::Value(Json::objectValue));
    return;
  }
  const milliseconds timeToLive((*body)["time_to_live_ms"].asUInt64());
  Json::Value reply;
  reply["lease"] = Json::UInt64(mStore.Grant(timeToLive, mLoop.Now()).value());
  Reply(aRequest.mConnection, 200, std::move(reply));
}

void
PlatformService::RenewLease(const HttpRequest& aRequest,
                            const std::string& aLease)
{
  const bool renewed = mStore.Renew(LeaseOf(aLease), mLoop.Now());
  Reply(
    aRequest.mConnection, renewed ? 200 : 404, Json::Value(Json::objectValue));
}

void
PlatformService::RevokeLease(const HttpRequest& aRequest,
                             const std::string& aLease)
{
  const bool revoked = mStore.Revoke(LeaseOf(aLease));
  Reply(
    aRequest.mConnection, revoked ? 200 : 404, Json::Value(Json::objectValue));
}

void
PlatformService::ExpireLeases()
{
  mStore.Expire(mLoop.Now());
  mLoop.After(kLeaseCheckInterval, [this]() { ExpireLeases(); });
}

void
PlatformService::TellVms(const HttpRequest& aRequest, const std::string&)
{
  Json::Value body;
  body["vms"] = mToldVms;
  Reply(aRequest.mConnection, 200, std::move(body));
}

void
PlatformService::ReplyEntry(ConnectionId aConnection,
                            const std::string& aKey,
                            const KeyEntry& aEntry)
{
  Json::Value body = RevisionBody(aEntry.mRevision);
  body["key"] = aKey;
  body["value"] = aEntry.mValue;
  Reply(aConnection, 200, std::move(body));
}

void
PlatformService::Reply(ConnectionId aConnection, int aStatus, Json::Value aBody)
{
  if (mFaults.mDelay == Duration::zero()) {
    mServer.Reply(aConnection, aStatus, aBody);
    return;
  }
  mLoop.After(mFaults.mDelay,
              [this, aConnection, aStatus, body = std::move(aBody)]() {
                mServer.Reply(aConnection, aStatus, body);
              });
}

} // namespace verbenachute::standins
