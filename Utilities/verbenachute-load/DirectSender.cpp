#include "DirectSender.h"

#include <Common/IndexData.h>
#include <Common/JsonText.h>

#include <utility>

namespace verbenachute::load {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusShed = 429;
/// Pause before a shard that was shed is sent to another replica.
constexpr Duration kPauseAfterShed = milliseconds(1);

std::vector<Hit>
ReadHits(const Json::Value& aHits)
{
  std::vector<Hit> hits;
  for (const Json::Value& entry : aHits) {
    hits.push_back(Hit{ entry["id"].asString(),
                        entry["score"].asDouble(),
                        entry["text"].asString() });
  }
  return hits;
}

Json::Value
WriteHits(const std::vector<Hit>& aHits)
{
  Json::Value hits(Json::arrayValue);
  for (const Hit& hit : aHits) {
    Json::Value entry;
    entry["id"] = hit.mIdentifier;
    entry["score"] = hit.mScore;
    entry["text"] = hit.mText;
    hits.append(std::move(entry));
  }
  return hits;
}

} // namespace

DirectSender::DirectSender(standins::EventLoop& aLoop,
                           const LoadSettings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mClient(aLoop)
  , mRandom(aSettings.mSeed)
{
  for (const SiteTarget& target : aSettings.mSite.mTargets) {
    mClient.SetConnectionCap(target.mAddress, target.mConnections);
  }
}

void
DirectSender::Send(const PlannedRequest& aRequest, Callback aCallback)
{
  const SiteService* service = mSettings.mSite.Find(aRequest.mService);
  // Later versions may be published while the baseline does not run.
  const auto version = service->mVersions.begin();
  const std::shared_ptr<Flight> flight = std::make_shared<Flight>();
  flight->mRequest = aRequest;
  flight->mCallback = std::move(aCallback);
  flight->mDeadline = mLoop.Now() + aRequest.mDeadline;
  flight->mVersion = version->first;
  flight->mShards.resize(version->second);
  flight->mOpen = version->second;
  flight->mTimer =
    mLoop.After(aRequest.mDeadline, [this, flight]() { Finish(flight); });
  for (std::uint32_t shard = 0; shard < version->second; ++shard) {
    Attempt(flight, shard);
  }
}

const SiteTarget*
DirectSender::DrawReplica(const ServiceName& aService, std::uint32_t aShard)
{
  const SiteTarget* drawn = nullptr;
  std::uint32_t seen = 0;
  for (const SiteTarget& target : mSettings.mSite.mTargets) {
    if (target.mService == aService &&
        aShard % target.mPositions == target.mPosition &&
        mRandom(++seen) == 0) {
      drawn = &target;
    }
  }
  return drawn;
}

void
DirectSender::Attempt(const std::shared_ptr<Flight>& aFlight,
                      std::uint32_t aShard)
{
  const milliseconds timeLeft =
    std::chrono::duration_cast<milliseconds>(aFlight->mDeadline - mLoop.Now());
  if (aFlight->mDone || timeLeft <= milliseconds(0)) {
    return;
  }
  const PlannedRequest& request = aFlight->mRequest;
  Json::Value body;
  body["attempt"] = std::to_string(++mLastAttempt);
  body["request_id"] = request.mRequest.value();
  body["service"] = request.mService.value();
  body["shard"] = aShard;
  body["version"] = Json::UInt64(aFlight->mVersion.value());
  body["deadline_ms"] = Json::Int64(timeLeft.count());
  body["deadline_unix_ms"] = Json::Int64((mLoop.WallTime() + timeLeft).count());
  body["query"] = request.mQuery;
  body["limit"] = request.mLimit;
  body["idempotent"] = request.mIdempotency == Idempotency::Idempotent;
  mClient.Send(HttpExchange{ DrawReplica(request.mService, aShard)->mAddress,
                             "/v1/query",
                             standins::JsonText(body),
                             timeLeft + milliseconds(1) },
               [this, aFlight, aShard](const HttpReply& aReply) {
                 Replied(aFlight, aShard, aReply);
               });
}

void
DirectSender::Replied(const std::shared_ptr<Flight>& aFlight,
                      std::uint32_t aShard,
                      const HttpReply& aReply)
{
  if (aFlight->mDone) {
    return;
  }
  if (aReply.mStatus == kStatusShed) {
    ++aFlight->mExtraAttempts;
    mLoop.After(kPauseAfterShed,
                [this, aFlight, aShard]() { Attempt(aFlight, aShard); });
    return;
  }
  const std::optional<Json::Value> body =
    standins::ParseJsonObject(aReply.mBody);
  if (aReply.mStatus == kStatusOk && body) {
    aFlight->mShards[aShard] = ReadHits((*body)["hits"]);
  }
  --aFlight->mOpen;
  if (aFlight->mOpen == 0) {
    mLoop.Cancel(aFlight->mTimer);
    Finish(aFlight);
  }
}

void
DirectSender::Finish(const std::shared_ptr<Flight>& aFlight)
{
  aFlight->mDone = true;
  std::vector<Hit> hits;
  Json::Value missing(Json::arrayValue);
  for (std::uint32_t shard = 0; shard < aFlight->mShards.size(); ++shard) {
    const std::optional<std::vector<Hit>>& found = aFlight->mShards[shard];
    if (found) {
      hits.insert(hits.end(), found->begin(), found->end());
    } else {
      missing.append(shard);
    }
  }
  standins::SortAndCut(hits, aFlight->mRequest.mLimit);
  const Json::ArrayIndex shards =
    static_cast<Json::ArrayIndex>(aFlight->mShards.size());
  const Json::ArrayIndex answered = shards - missing.size();
  SendResult result;
  result.mKind = SendResult::Kind::Answer;
  result.mExecution = Execution::Ran;
  result.mSends = 1;
  result.mBody["request_id"] = aFlight->mRequest.mRequest.value();
  result.mBody["service"] = aFlight->mRequest.mService.value();
  result.mBody["snapshot"] = Json::UInt64(aFlight->mVersion.value());
  result.mBody["coverage"]["shards"] = shards;
  result.mBody["coverage"]["answered"] = answered;
  result.mBody["coverage"]["missing"] = std::move(missing);
  result.mBody["coverage"]["fraction"] =
    static_cast<double>(answered) / static_cast<double>(shards);
  result.mBody["hits"] = WriteHits(hits);
  result.mBody["extra_attempts"] = aFlight->mExtraAttempts;
  aFlight->mCallback(result);
}

} // namespace verbenachute::load
