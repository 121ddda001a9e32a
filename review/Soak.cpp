#include "Soak.h"

#include <LibHttp/HttpText.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace verbenachute::review {

namespace {

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;
constexpr int kOk = 200;
constexpr Duration kReadyInterval = milliseconds(100);
constexpr Duration kStoreTimeout = seconds(10);
// A consumer that hears nothing so long after its deadline hangs up.
constexpr Duration kAfterDeadline = milliseconds(500);
constexpr std::size_t kShownBreaches = 20;

} // namespace

Json::Value
BackendJson(const std::string& aName)
{
  Json::Value backend(Json::objectValue);
  backend["Name"] = aName;
  backend["MaxConns"] = 37;
  backend["HealthPath"] = "/healthz";
  backend["WarmupS"] = 3;
  backend["WarmupPerS"] = 0;
  return backend;
}

Json::Value
RouteJson(const std::string& aName, const char* aKind, Duration aDeadline)
{
  Json::Value route(Json::objectValue);
  route["Name"] = aName;
  route["Host"] = Soak::kHost;
  route["PathPrefix"] = "/" + aName + "/";
  route["RouteKind"] = aKind;
  route["MaxAttempts"] = 2;
  route["DeadlineMs"] =
    Json::Int64(std::chrono::duration_cast<milliseconds>(aDeadline).count());
  route["TargetLatencyMs"] = 400;
  route["Priority"] = 1;
  return route;
}

Json::Value
EmptyPlan(std::uint64_t aVersion)
{
  Json::Value plan(Json::objectValue);
  plan["Version"] = Json::UInt64(aVersion);
  plan["Limits"]["MaxHeaderBytes"] = 16384;
  plan["Limits"]["MaxBodyBytes"] = 262144;
  plan["Limits"]["HeaderTimeoutMs"] = 3000;
  plan["Limits"]["IdleTimeoutMs"] = 15000;
  plan["Routes"] = Json::Value(Json::arrayValue);
  plan["Backends"] = Json::Value(Json::arrayValue);
  return plan;
}

Soak::Soak(EventLoop& aLoop, const Settings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mStart(aLoop.Now())
  , mRecord(std::fopen(aSettings.mRecord.c_str(), "w"))
  , mProbes(aSettings.mReady.size())
{
}

EntrySearcher&
Soak::AddSearcher(const std::string& aId,
                  const std::string& aService,
                  const std::string& aZone)
{
  SearcherShape shape;
  shape.mId = aId;
  shape.mService = aService;
  shape.mZone = aZone;
  shape.mAddress = mSettings.mFirstSearcher;
  shape.mAddress.mPort =
    static_cast<std::uint16_t>(shape.mAddress.mPort + mSearchers.size());
  mSearchers.push_back(std::make_unique<EntrySearcher>(mLoop, *this, shape));
  if (!mSearchers.back()->Start()) {
    Fail("the address of a searcher can not be bound");
  }
  return *mSearchers.back();
}

void
Soak::Put(const std::string& aKey,
          const std::string& aValue,
          std::function<void()> aAcknowledged)
{
  mWrites.push_back(Write{
    "/put?Key=" + PercentEncode(aKey), aValue, std::move(aAcknowledged) });
  if (mWrites.size() == 1) {
    SendNextWrite();
  }
}

void
Soak::Remove(const std::string& aKey)
{
  Control("/remove?Key=" + PercentEncode(aKey));
}

void
Soak::Control(const std::string& aTarget)
{
  mWrites.push_back(Write{ aTarget, "", {} });
  if (mWrites.size() == 1) {
    SendNextWrite();
  }
}

void
Soak::SendNextWrite()
{
  if (mControl == nullptr || !mControl->IsReady()) {
    mControl = std::make_unique<HttpClientStream>(
      mLoop, mSettings.mControl, PeerTimeouts());
  }
  HttpFields fields;
  fields.Add("Host", "store");
  HttpClientStream::Exchange exchange;
  exchange.mRequest = SerializeRequest(
    "POST", mWrites.front().mTarget, fields, mWrites.front().mBody);
  exchange.mTimeout = kStoreTimeout;
  mControl->Send(std::move(exchange), [this](const StreamOutcome& aOutcome) {
    const HttpResponse* response = std::get_if<HttpResponse>(&aOutcome);
    if (response == nullptr || response->mStatus != kOk) {
      mLoop.Defer([this]() { Fail("the store did not take a write"); });
      return;
    }
    mLoop.Defer([this]() {
      const Write write = std::move(mWrites.front());
      mWrites.pop_front();
      if (write.mAcknowledged) {
        write.mAcknowledged();
      }
      if (!mWrites.empty()) {
        SendNextWrite();
      }
    });
  });
}

void
Soak::WhenReady(const std::function<void()>& aTask)
{
  for (std::size_t node = 0; node < mSettings.mReady.size(); ++node) {
    AskReady(node, aTask);
  }
}

void
Soak::AskReady(std::size_t aNode, std::function<void()> aTask)
{
  mProbes[aNode] = std::make_unique<HttpClientStream>(
    mLoop, mSettings.mReady[aNode], PeerTimeouts());
  HttpFields fields;
  fields.Add("Host", "node");
  HttpClientStream::Exchange exchange;
  exchange.mRequest = SerializeRequest("GET", "/ready", fields, "");
  exchange.mTimeout = seconds(1);
  mProbes[aNode]->Send(
    std::move(exchange),
    [this, aNode, task = std::move(aTask)](const StreamOutcome& aOutcome) {
      const HttpResponse* response = std::get_if<HttpResponse>(&aOutcome);
      if (response == nullptr || response->mStatus != kOk) {
        After(kReadyInterval, [this, aNode, task]() { AskReady(aNode, task); });
        return;
      }
      Record("node " + std::to_string(aNode + 1) + " is ready");
      if (++mReadyNodes == mSettings.mReady.size()) {
        mLoop.Defer(task);
      }
    });
}

void
Soak::After(Duration aDelay, std::function<void()> aTask)
{
  mTimers.push_back(std::make_unique<Timer>(mLoop, std::move(aTask)));
  mTimers.back()->Start(aDelay);
}

std::shared_ptr<HttpClientStream>
Soak::StreamTo(std::size_t aNode)
{
  std::vector<std::shared_ptr<HttpClientStream>>& streams = mStreams[aNode];
  std::erase_if(streams, [](const std::shared_ptr<HttpClientStream>& aOne) {
    return aOne->IsBroken();
  });
  for (const std::shared_ptr<HttpClientStream>& stream : streams) {
    if (stream->IsReady()) {
      return stream;
    }
  }
  streams.push_back(std::make_shared<HttpClientStream>(
    mLoop, mSettings.mNodes[aNode], PeerTimeouts()));
  return streams.back();
}

std::string
Soak::Send(std::size_t aNode,
           const std::string& aMethod,
           const std::string& aPath,
           Duration aDeadline,
           const std::string& aBody,
           Done aDone)
{
  return SendFor(aNode,
                 aMethod,
                 aPath,
                 aDeadline,
                 aDeadline + kAfterDeadline,
                 aBody,
                 std::move(aDone));
}

void
Soak::SendAndLeave(std::size_t aNode,
                   const std::string& aPath,
                   Duration aDeadline,
                   Duration aLeaveAfter)
{
  SendFor(aNode, "GET", aPath, aDeadline, aLeaveAfter, "", {});
}

std::string
Soak::SendFor(std::size_t aNode,
              const std::string& aMethod,
              const std::string& aPath,
              Duration aDeadline,
              Duration aPatience,
              const std::string& aBody,
              Done aDone)
{
  std::string id = "q" + std::to_string(++mLastRequest);
  Request& request = mRequests[id];
  request.mNode = aNode;
  request.mPath = aPath;
  request.mSent = mLoop.Now();
  HttpFields fields;
  fields.Add("Host", kHost);
  fields.Add("Request-Id", id);
  fields.Add("Deadline-Ms",
             std::to_string(
               std::chrono::duration_cast<milliseconds>(aDeadline).count()));
  HttpClientStream::Exchange exchange;
  exchange.mRequest = SerializeRequest(aMethod, aPath, fields, aBody);
  exchange.mTimeout = aPatience;
  const std::shared_ptr<HttpClientStream> stream = StreamTo(aNode);
  Record("sent " + id + " to node " + std::to_string(aNode + 1) + ": " +
         aMethod + " " + aPath);
  stream->Send(
    std::move(exchange),
    [this, id, stream, done = std::move(aDone)](const StreamOutcome& aOutcome) {
      Request& ended = mRequests.at(id);
      ended.mEnded = true;
      if (const HttpResponse* response = std::get_if<HttpResponse>(&aOutcome)) {
        ended.mStatus = response->mStatus;
        ended.mResponse = *response;
      }
      Record("answered " + id + ": " +
             (ended.mStatus == 0 ? std::string("connection ended")
                                 : std::to_string(ended.mStatus)));
      // The stream is what runs this.
      mLoop.Defer([this, id, stream, done]() {
        if (stream->IsBroken()) {
          // Closes the connection, as a consumer does that has given up.
          std::erase(mStreams[mRequests.at(id).mNode], stream);
        }
        if (done) {
          done(id, mRequests.at(id));
        }
      });
    });
  return id;
}

void
Soak::OnRun(const std::string& aRequest,
            const SearcherShape& aShape,
            const HttpCall&)
{
  Record("run " + aRequest + " by " + aShape.mId + " of " + aShape.mService);
  const auto found = mRequests.find(aRequest);
  if (found != mRequests.end()) {
    found->second.mRuns.push_back(aShape.mService);
    if (mRan) {
      mRan(aRequest, found->second);
    }
  }
}

void
Soak::OnArrival(const std::string& aRequest, EntrySearcher* aSearcher)
{
  const auto found = mRequests.find(aRequest);
  if (mArrived && found != mRequests.end()) {
    mArrived(found->second, aSearcher);
  }
}

void
Soak::Record(const std::string& aText)
{
  if (mRecord != nullptr) {
    const std::chrono::duration<double> time = mLoop.Now() - mStart;
    std::fprintf(mRecord, "%8.3f %s\n", time.count(), aText.c_str());
  }
}

void
Soak::Broken(const std::string& aText)
{
  ++mBreaches;
  Record("BROKEN " + aText);
  if (mBreaches <= kShownBreaches) {
    std::printf("BROKEN %s\n", aText.c_str());
  }
}

void
Soak::Fail(const std::string& aText)
{
  mFailed = true;
  Record("could not run: " + aText);
  std::printf("could not run: %s\n", aText.c_str());
  mLoop.Stop();
}

void
Soak::End()
{
  Record("end, breaches: " + std::to_string(mBreaches));
  std::printf("breaches: %zu\n", mBreaches);
  if (mRecord != nullptr) {
    std::fclose(std::exchange(mRecord, nullptr));
  }
  mLoop.Stop();
}

int
Soak::ExitStatus() const
{
  if (mFailed) {
    return kExitNotRun;
  }
  return mBreaches > 0 ? kExitBroken : kExitHeld;
}

} // namespace verbenachute::review
