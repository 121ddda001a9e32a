#include "EntrySearcher.h"

#include <LibCore/SocketAddressText.h>
#include <LibForward/RecordMerger.h>
#include <LibJson/JsonText.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace verbenachute::standins {

namespace {

constexpr int kOk = 200;
constexpr int kWrongTarget = 421;
constexpr int kFull = 503;
constexpr std::size_t kRecords = 12;
/// A request with this text in its path crashes each searcher that runs it.
constexpr const char* kCrashMarker = "crash-marker";

std::string
FieldOf(const HttpCall& aCall, const char* aName)
{
  const std::string* value = aCall.mFields.Find(aName);
  return value == nullptr ? "" : *value;
}

} // namespace

EntrySearcher::EntrySearcher(EventLoop& aLoop,
                             StoreModel& aStore,
                             Promises& aPromises,
                             const SearcherShape& aShape,
                             std::uint64_t aSeed)
  : mLoop(aLoop)
  , mStore(aStore)
  , mPromises(aPromises)
  , mShape(aShape)
  , mFirstName(aShape.mFacts.mName.value())
  , mRandom(static_cast<std::minstd_rand::result_type>(aSeed))
{
}

void
EntrySearcher::Start()
{
  Listen();
  mBorn = mLoop.SystemTime().WallTime();
  TellState("ready");
}

void
EntrySearcher::Listen()
{
  mEndless.reset();
  ServerLimits limits;
  limits.mIdleTimeout = seconds(30);
  Result<std::unique_ptr<HttpListener>> listener = HttpListener::Create(
    mLoop, mShape.mAddress, limits, [this](const CallPointer& aCall) {
      Handle(aCall);
    });
  if (IsError(listener)) {
    std::fprintf(stderr,
                 "cannot listen on %s\n",
                 SocketAddressText(mShape.mAddress).c_str());
    std::exit(EXIT_FAILURE);
  }
  mListener = ReleaseValue(std::move(listener));
}

void
EntrySearcher::TellState(const char* aState)
{
  mToldState = aState;
  Json::Value entry(Json::objectValue);
  entry["Backend"] = mShape.mFacts.mService.value();
  entry["Address"] = SocketAddressText(mShape.mAddress);
  entry["Zone"] = mShape.mFacts.mDomain.value();
  entry["Version"] = "v1";
  entry["Capacity"] = Json::UInt64(mShape.mSlots);
  entry["State"] = aState;
  const milliseconds cold = std::chrono::duration_cast<milliseconds>(
    std::max(Duration(0), mWarmAt - mLoop.Now()));
  entry["WarmupLeftMs"] = Json::Int64(cold.count());
  entry["SeqNo"] = Json::UInt64(++mNumber);
  entry["born"] = Json::Int64(mBorn.count());
  mStore.Put("servers/" + mShape.mFacts.mName.value(), CompactJson(entry));
}

void
EntrySearcher::WriteEntryAgain()
{
  if (mToldState.empty()) {
    mStore.Remove("servers/" + mShape.mFacts.mName.value());
    return;
  }
  // A copy, since it is assigned to itself otherwise.
  const std::string state = mToldState;
  TellState(state.c_str());
}

void
EntrySearcher::Drain()
{
  TellState("draining");
  mPromises.OnDraining(mShape.mFacts.mName, mLoop.Now());
}

void
EntrySearcher::Crash()
{
  mToldState.clear();
  mStore.Remove("servers/" + mShape.mFacts.mName.value());
  mPromises.OnTargetGone(mShape.mFacts.mName);
  CrashSilently();
}

void
EntrySearcher::CrashSilently()
{
  // Jobs hold timers, one of which may be running this.
  mLoop.Defer([jobs = std::make_shared<std::map<std::uint64_t, Job>>(
                 std::exchange(mJobs, {}))]() {});
  mListener.reset();
  mUnanswered.clear();
}

void
EntrySearcher::Restart()
{
  mShape.mFacts.mName = TargetName(mFirstName + "-" + std::to_string(++mLives));
  Start();
}

void
EntrySearcher::RestartCold(Duration aCold)
{
  mPromises.OnTargetGone(mShape.mFacts.mName);
  mWarmAt = mLoop.Now() + aCold;
  Start();
}

void
EntrySearcher::SetEndless(bool aEndless)
{
  if (!aEndless) {
    if (mEndless) {
      Listen();
    }
    return;
  }
  CrashSilently();
  Result<std::unique_ptr<EndlessServer>> server =
    EndlessServer::Create(mLoop, mShape.mAddress);
  if (!IsError(server)) {
    mEndless = ReleaseValue(std::move(server));
  }
}

double
EntrySearcher::Share()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

std::size_t
EntrySearcher::Running() const
{
  std::size_t running = 0;
  for (const auto& job : mJobs) {
    running += job.second.mRunning ? 1 : 0;
  }
  return running;
}

HttpFields
EntrySearcher::FieldsFor(const RequestId& aRequest) const
{
  HttpFields fields;
  fields.Add("Request-Id", aRequest.value());
  const std::size_t running = Running();
  fields.Add("Server-Load",
             std::to_string(running) + "," +
               std::to_string(mJobs.size() - running) + "," +
               std::to_string(mShape.mSlots));
  return fields;
}

void
EntrySearcher::Reject(const CallPointer& aCall,
                      int aStatus,
                      const RequestId& aRequest)
{
  HttpFields fields = FieldsFor(aRequest);
  fields.Add("Not-Executed", "1");
  aCall->Respond(aStatus, fields, "");
}

void
EntrySearcher::Handle(const CallPointer& aCall)
{
  mPromises.OnConnections(
    mShape.mFacts, mListener->ConnectionCount(), mShape.mConnections);
  if (mHung) {
    mUnanswered.push_back(aCall);
    return;
  }
  const RequestId request(FieldOf(*aCall, "Request-Id"));
  if (aCall->mTarget == "/healthz") {
    HttpFields fields;
    fields.Add("Instance-Id", mShape.mFacts.mName.value());
    aCall->Respond(kOk, fields, "");
    return;
  }
  if (FieldOf(*aCall, "Expect-Instance") != mShape.mFacts.mName.value()) {
    Reject(aCall, kWrongTarget, request);
    return;
  }
  mPromises.OnArrived(request, mShape.mFacts, mLoop.Now());
  if (IsCold()) {
    mPromises.OnArrivedCold(request, mShape.mFacts, mLoop.Now());
  }
  if (mJobs.size() >= mShape.mSlots + mShape.mQueue) {
    Reject(aCall, kFull, request);
    return;
  }
  const std::uint64_t number = ++mNumber;
  Job& job = mJobs[number];
  job.mCall = aCall;
  job.mRequest = request;
  aCall->CallerDisconnected().connect(
    [this, number]() { OnCallerDisconnected(number); });
  StartWaiting();
}

void
EntrySearcher::OnCallerDisconnected(std::uint64_t aNumber)
{
  const auto found = mJobs.find(aNumber);
  if (found == mJobs.end()) {
    return;
  }
  mLoop.Defer([job = std::make_shared<Job>(std::move(found->second))]() {});
  mJobs.erase(found);
  StartWaiting();
}

void
EntrySearcher::StartWaiting()
{
  std::size_t running = Running();
  std::vector<std::uint64_t> next;
  for (const auto& job : mJobs) {
    if (!job.second.mRunning && running < mShape.mSlots) {
      next.push_back(job.first);
      ++running;
    }
  }
  for (const std::uint64_t number : next) {
    Run(number);
  }
}

void
EntrySearcher::Run(std::uint64_t aNumber)
{
  Job& job = mJobs.at(aNumber);
  job.mRunning = true;
  mPromises.OnRan(job.mRequest, mShape.mFacts);
  if (job.mCall->mTarget.find(kCrashMarker) != std::string::npos) {
    mLoop.Defer([this]() {
      if (IsUp()) {
        Crash();
      }
    });
    return;
  }
  const double factor = mSlowness * (0.5 + Share());
  job.mTimer =
    std::make_unique<Timer>(mLoop, [this, aNumber]() { Finish(aNumber); });
  job.mTimer->Start(Duration(static_cast<Duration::rep>(
    factor * static_cast<double>(mShape.mService.count()))));
}

std::string
EntrySearcher::Records()
{
  if (mShape.mResponseBytes > 0) {
    return std::string(mShape.mResponseBytes, 'r');
  }
  std::string records;
  for (std::size_t i = 0; i < kRecords * kRecordBytes; ++i) {
    records.push_back(static_cast<char>(mRandom() & 0xff));
  }
  return records;
}

void
EntrySearcher::Finish(std::uint64_t aNumber)
{
  const auto found = mJobs.find(aNumber);
  if (found == mJobs.end()) {
    // It was dropped in this turn of the loop, in which its timer was due.
    return;
  }
  const std::shared_ptr<Job> job =
    std::make_shared<Job>(std::move(found->second));
  mJobs.erase(found);
  // The timer of the job is what runs this.
  mLoop.Defer([job]() {});
  const std::string signature = mShape.mFacts.mName.value() + "." +
                                job->mRequest.value() + "." +
                                std::to_string(aNumber);
  HttpFields fields = FieldsFor(job->mRequest);
  fields.Add("Server-Stamp", signature);
  if (Share() < mLosing) {
    mUnanswered.push_back(job->mCall);
  } else if (Share() < mFailing) {
    job->mCall->Respond(mFailureStatus, fields, "failed");
  } else {
    const std::string body = Records();
    mPromises.OnSigned(job->mRequest, mShape.mFacts, signature, body);
    job->mCall->Respond(kOk, fields, body);
  }
  StartWaiting();
}

} // namespace verbenachute::standins
