#include "EntrySearcher.h"

#include "Soak.h"

#include <LibCore/SocketAddressText.h>
#include <LibJson/JsonText.h>

#include <algorithm>
#include <utility>

namespace verbenachute::review {

namespace {

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kWrongTarget = 421;
constexpr int kFull = 503;
constexpr std::size_t kRecordBytes = 16;
constexpr std::size_t kRecords = 12;

std::string
FieldOf(const HttpCall& aCall, const char* aName)
{
  const std::string* value = aCall.mFields.Find(aName);
  return value == nullptr ? "" : *value;
}

std::string
Records(std::uint64_t aNumber)
{
  std::string records;
  for (std::size_t i = 0; i < kRecords; ++i) {
    std::string record = std::to_string(aNumber * kRecords + i);
    record.resize(kRecordBytes, '.');
    records += record;
  }
  return records;
}

} // namespace

EntrySearcher::EntrySearcher(EventLoop& aLoop,
                             Soak& aSoak,
                             const SearcherShape& aShape)
  : mLoop(aLoop)
  , mSoak(aSoak)
  , mShape(aShape)
  , mWarmAt(aLoop.Now())
{
}

bool
EntrySearcher::Start()
{
  ServerLimits limits;
  limits.mIdleTimeout = seconds(60);
  Result<std::unique_ptr<HttpListener>> listener = HttpListener::Create(
    mLoop, mShape.mAddress, limits, [this](const CallPointer& aCall) {
      Handle(aCall);
    });
  if (IsError(listener)) {
    return false;
  }
  mListener = ReleaseValue(std::move(listener));
  mBorn = mLoop.SystemTime().WallTime();
  mSequence = 0;
  Tell("ready");
  return true;
}

bool
EntrySearcher::StartAgain(Duration aCold)
{
  mWarmAt = mLoop.Now() + aCold;
  return Start();
}

void
EntrySearcher::Tell(const std::string& aState)
{
  const milliseconds cold = std::chrono::duration_cast<milliseconds>(
    std::max(Duration(0), mWarmAt - mLoop.Now()));
  Json::Value entry(Json::objectValue);
  entry["Backend"] = mShape.mService;
  entry["Address"] = SocketAddressText(mShape.mAddress);
  entry["Zone"] = mShape.mZone;
  entry["Version"] = "v1";
  entry["Capacity"] = mShape.mSlots;
  entry["State"] = aState;
  entry["WarmupLeftMs"] = Json::Int64(cold.count());
  entry["SeqNo"] = Json::UInt64(++mSequence);
  entry["born"] = Json::Int64(mBorn.count());
  mSoak.Put("servers/" + mShape.mId, CompactJson(entry));
}

void
EntrySearcher::Crash()
{
  // Jobs hold timers, one of which may be running this.
  mLoop.Defer([jobs = std::make_shared<std::map<std::uint64_t, Job>>(
                 std::exchange(mJobs, {}))]() {});
  mListener.reset();
  mUnanswered.clear();
}

void
EntrySearcher::Leave()
{
  mSoak.Remove("servers/" + mShape.mId);
  Crash();
}

bool
EntrySearcher::IsCold() const
{
  return mLoop.Now() < mWarmAt;
}

std::size_t
EntrySearcher::Running() const
{
  return static_cast<std::size_t>(
    std::count_if(mJobs.begin(), mJobs.end(), [](const auto& aJob) {
      return aJob.second.mRunning;
    }));
}

void
EntrySearcher::Reject(const CallPointer& aCall, int aStatus)
{
  HttpFields fields;
  fields.Add("Request-Id", FieldOf(*aCall, "Request-Id"));
  fields.Add("Not-Executed", "1");
  aCall->Respond(aStatus, fields, "");
}

void
EntrySearcher::Handle(const CallPointer& aCall)
{
  if (aCall->mTarget == "/healthz") {
    HttpFields fields;
    fields.Add("Instance-Id", mShape.mId);
    aCall->Respond(kOk, fields, "");
    return;
  }
  if (FieldOf(*aCall, "Expect-Instance") != mShape.mId) {
    Reject(aCall, kWrongTarget);
    return;
  }
  mSoak.OnArrival(FieldOf(*aCall, "Request-Id"), this);
  if (mJobs.size() >= mShape.mSlots + mShape.mQueue) {
    Reject(aCall, kFull);
    return;
  }
  const std::uint64_t number = ++mNumber;
  Job& job = mJobs[number];
  job.mCall = aCall;
  job.mRequest = FieldOf(*aCall, "Request-Id");
  aCall->CallerDisconnected().connect([this, number]() {
    const auto found = mJobs.find(number);
    if (found != mJobs.end()) {
      mLoop.Defer([job = std::make_shared<Job>(std::move(found->second))]() {});
      mJobs.erase(found);
      StartWaiting();
    }
  });
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
  mSoak.OnRun(job.mRequest, mShape, *job.mCall);
  const bool crashes =
    !mCrashMarker.empty() &&
    job.mCall->mTarget.find(mCrashMarker) != std::string::npos;
  if (crashes) {
    mSoak.After(mCrashAfter, [this]() {
      if (IsUp()) {
        mSoak.Record(mShape.mId + " crashes");
        Crash();
      }
    });
    mSoak.After(mCrashAfter + mDown, [this]() {
      if (!IsUp() && !StartAgain(Duration(0))) {
        mSoak.Fail("a searcher could not start again");
      }
    });
    return;
  }
  job.mTimer =
    std::make_unique<Timer>(mLoop, [this, aNumber]() { Finish(aNumber); });
  job.mTimer->Start(mShape.mWork);
}

void
EntrySearcher::Finish(std::uint64_t aNumber)
{
  const auto found = mJobs.find(aNumber);
  if (found == mJobs.end()) {
    return;
  }
  const std::shared_ptr<Job> job =
    std::make_shared<Job>(std::move(found->second));
  mJobs.erase(found);
  // The timer of the job is what runs this.
  mLoop.Defer([job]() {});
  HttpFields fields;
  fields.Add("Request-Id", job->mRequest);
  fields.Add("Server-Stamp",
             mShape.mId + "." + job->mRequest + "." + std::to_string(aNumber));
  switch (mChoose ? mChoose(job->mRequest) : Answer::Success) {
    case Answer::Success:
      job->mCall->Respond(kOk, fields, Records(aNumber));
      break;
    case Answer::OwnFailure:
      job->mCall->Respond(mFailureStatus, fields, "failed after the work");
      break;
    case Answer::Silence:
      mUnanswered.push_back(job->mCall);
      break;
    case Answer::NoContent:
      job->mCall->Respond(kNoContent, fields, "");
      break;
    case Answer::NoContentAndMore: {
      const std::string more =
        "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nServer-Stamp: another\r\n"
        "Content-Length: 12\r\n\r\nforeign data";
      fields.Add("Content-Length", std::to_string(more.size()));
      job->mCall->Respond(kNoContent, fields, more);
      break;
    }
  }
  StartWaiting();
}

} // namespace verbenachute::review
