#include "LoadFleet.h"

#include <LibCore/Overloaded.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

constexpr const char* kHost = "h.example";
constexpr Duration kOneWayDelay = microseconds(600);
constexpr Duration kPause = milliseconds(150);
constexpr Duration kPausePeriod = milliseconds(3600);
constexpr Duration kWarmup = seconds(1);

FailureDomain
DomainOf(std::size_t aIndex)
{
  return FailureDomain("d" + std::to_string(aIndex));
}

} // namespace

LoadFleet::LoadFleet(LoadAdmissionMode aMode,
                     std::vector<Kind> aKinds,
                     std::uint32_t aSeed)
  : mKinds(std::move(aKinds))
  , mRandom(aSeed)
  , mCounts(mKinds.size())
{
  ServingPlan::Content content;
  content.mVersion = PlanVersion(1);
  ShardSet shards;
  shards.mMaximumRecords = 2;
  for (std::size_t i = 0; i < kShards; ++i) {
    ServiceSettings service;
    service.mName = ServiceName("s" + std::to_string(i));
    service.mMaximumConnections = 60;
    content.mServices.push_back(service);
    shards.mShards.push_back(service.mName);
  }
  for (const Kind& kind : mKinds) {
    Route route;
    route.mName = kind.mName;
    route.mHost = kHost;
    route.mPathPrefix = "/" + kind.mName + "/";
    route.mRepeatPolicy = RepeatPolicy::Idempotent;
    route.mDeadline = kind.mDeadline;
    route.mLatencyObjective = kind.mObjective;
    route.mMaximumAttempts = 2;
    route.mPriority = kind.mPriority;
    shards.mMinimumCoverage = kind.mCoverage;
    route.mDestination = shards;
    content.mRoutes.push_back(route);
  }
  mPlan = std::make_shared<const ServingPlan>(content);
  std::vector<NodeName> names;
  for (std::size_t i = 0; i < kNodes; ++i) {
    names.emplace_back("n" + std::to_string(i));
  }
  for (std::size_t i = 0; i < kNodes; ++i) {
    ForwardSettings settings;
    settings.mBudgetLimits = AttemptBudgetLimits{ 0.2, 5, seconds(10) };
    settings.mDomain = DomainOf(i % kDomains);
    settings.mLoadAdmission = aMode;
    settings.mSeed = aSeed * 100 + i;
    Node& node = mNodes.emplace_back();
    node.mEngine = std::make_unique<ForwardEngine>(settings);
    node.mEngine->SetPlan(mPlan);
    node.mEngine->SetNodes(names, names[i]);
  }
  for (std::size_t i = 0; i < kShards * kDomains; ++i) {
    ListedTarget listed;
    listed.mService = ServiceName("s" + std::to_string(i / kDomains));
    listed.mDomain = DomainOf(i % kDomains);
    listed.mName =
      TargetName(listed.mService.value() + "-" + listed.mDomain.value());
    listed.mAddress = SocketAddress{ "10.0.0.1", 1 };
    listed.mSlots = kSlots;
    for (const Node& node : mNodes) {
      node.mEngine->Targets().List(listed, mNow);
    }
    Target* target = &mTargets[listed.mName];
    Schedule(kPausePeriod * static_cast<int>(mRandom() % 1000) / 1000,
             [this, target] { Pause(target); });
  }
}

void
LoadFleet::SlowTargets(double aFactor, Duration aFrom, Duration aTo)
{
  std::size_t index = 0;
  for (auto& entry : mTargets) {
    Target* target = &entry.second;
    // Every shard has one slow target.
    const std::size_t shard = index / kDomains;
    if (index++ % kDomains == shard % kDomains) {
      Schedule(aFrom, [target, aFactor] { target->mSlowdown = aFactor; });
      Schedule(aTo, [target] { target->mSlowdown = 1; });
    }
  }
}

void
LoadFleet::Schedule(Duration aDelay, Task aTask)
{
  mTasks.emplace(mNow + aDelay, std::move(aTask));
}

void
LoadFleet::Run(double aLoad,
               Duration aTime,
               const std::vector<double>& aFactors)
{
  mCountedFrom = mNow + kWarmup;
  const Instant end = mNow + aTime;
  for (std::size_t i = 0; i < mKinds.size(); ++i) {
    Offer(i, mKinds[i].mRate * aLoad * aFactors.at(i), end);
  }
  const Instant last = end + seconds(4);
  while (mNow < last) {
    Instant next = mTasks.empty() ? last : mTasks.begin()->first;
    for (const Node& node : mNodes) {
      next = std::min(next, node.mEngine->NextWake().value_or(next));
    }
    mNow = std::max(mNow, next);
    while (!mTasks.empty() && mTasks.begin()->first <= mNow) {
      const Task task = std::move(mTasks.begin()->second);
      mTasks.erase(mTasks.begin());
      task();
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
      const std::optional<Instant> wake = mNodes[i].mEngine->NextWake();
      if (wake.has_value() && *wake <= mNow) {
        Take(i, mNodes[i].mEngine->OnTime(mNow));
      }
    }
  }
}

void
LoadFleet::Offer(std::size_t aKind, double aRate, Instant aEnd)
{
  std::exponential_distribution<double> gap(aRate);
  const Duration delay(static_cast<Duration::rep>(1e6 * gap(mRandom)));
  if (mNow + delay >= aEnd) {
    return;
  }
  Schedule(delay, [this, aKind, aRate, aEnd] {
    const Query query{ aKind, mNow, mNow >= mCountedFrom };
    mCounts[aKind].mOffered += query.mIsCounted ? 1 : 0;
    Submit(query);
    Offer(aKind, aRate, aEnd);
  });
}

void
LoadFleet::Submit(const Query& aQuery)
{
  const std::size_t index = mRandom() % kNodes;
  const Kind& kind = mKinds[aQuery.mKind];
  const RequestNumber number(mNextNumber++);
  auto request = std::make_shared<CallerRequest>();
  request->mId = RequestId(std::to_string(number.value()));
  request->mMethod = "GET";
  request->mTarget = "/" + kind.mName + "/" + std::to_string(number.value());
  request->mHost = kHost;
  request->mTimeLimit = kind.mDeadline - (mNow - aQuery.mStart);
  request->mArrivalTime = mNow;
  mNodes[index].mQueries.emplace(number, std::pair(aQuery, mNow));
  Take(index, mNodes[index].mEngine->Submit(number, request, mNow));
}

void
LoadFleet::Take(std::size_t aNode, const ForwardActions& aActions)
{
  for (const ForwardAction& action : aActions) {
    std::visit(
      Overloaded{
        [&](const SendAction& aSend) { OnSend(aNode, aSend); },
        [&](const CancelAction& aCancel) { Cancel(aNode, aCancel.mAttempt); },
        [&](const AnswerAction& aAnswer) { OnAnswer(aNode, aAnswer); },
        [](const auto&) {} },
      action);
  }
}

void
LoadFleet::OnSend(std::size_t aNode, const SendAction& aSend)
{
  ++mSends;
  mSentTo.push_back(aSend.mTarget);
  const std::string& path = aSend.mRequest->mTarget;
  const auto kind =
    std::find_if(mKinds.begin(), mKinds.end(), [&](const Kind& aKind) {
      return path.starts_with("/" + aKind.mName + "/");
    });
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  const Job job{ aNode,
                 aSend.mAttempt,
                 Duration(static_cast<Duration::rep>(
                   static_cast<double>(kind->mWork.count()) *
                   spread(mRandom))) };
  Target* target = &mTargets.at(aSend.mTarget);
  Schedule(kOneWayDelay, [this, target, job] {
    if (target->mQueue.size() >= kQueue) {
      Reply(*target, job, ReplyKind::Declined);
      return;
    }
    target->mQueue.push_back(job);
    Start(target);
  });
}

void
LoadFleet::Cancel(std::size_t aNode, AttemptId aAttempt)
{
  Schedule(kOneWayDelay, [this, aNode, aAttempt] {
    for (auto& entry : mTargets) {
      std::erase_if(entry.second.mQueue, [&](const Job& aJob) {
        return aJob.mNode == aNode && aJob.mAttempt == aAttempt;
      });
    }
  });
}

void
LoadFleet::Start(Target* aTarget)
{
  while (!aTarget->mIsPaused && aTarget->mRunning < kSlots &&
         !aTarget->mQueue.empty()) {
    const Job job = aTarget->mQueue.front();
    aTarget->mQueue.pop_front();
    ++aTarget->mRunning;
    const Duration work(static_cast<Duration::rep>(
      static_cast<double>(job.mWork.count()) * aTarget->mSlowdown));
    Schedule(work, [this, aTarget, job] {
      --aTarget->mRunning;
      Reply(*aTarget, job, ReplyKind::Answered);
      Start(aTarget);
    });
  }
}

void
LoadFleet::Pause(Target* aTarget)
{
  aTarget->mIsPaused = true;
  Schedule(kPause, [this, aTarget] {
    aTarget->mIsPaused = false;
    Start(aTarget);
  });
  Schedule(kPausePeriod, [this, aTarget] { Pause(aTarget); });
}

void
LoadFleet::Reply(const Target& aTarget, const Job& aJob, ReplyKind aKind)
{
  PartReply reply;
  reply.mKind = aKind;
  reply.mSignature = "s";
  reply.mLoad =
    ReportedLoad{ static_cast<std::uint32_t>(aTarget.mRunning),
                  static_cast<std::uint32_t>(aTarget.mQueue.size()),
                  kSlots,
                  static_cast<std::uint32_t>(100 * aTarget.mSlowdown) };
  Schedule(kOneWayDelay, [this, aJob, reply] {
    Take(aJob.mNode,
         mNodes[aJob.mNode].mEngine->OnReply(aJob.mAttempt, reply, mNow));
  });
}

void
LoadFleet::OnAnswer(std::size_t aNode, const AnswerAction& aAnswer)
{
  const auto found = mNodes[aNode].mQueries.find(aAnswer.mNumber);
  const auto [query, submitted] = found->second;
  mNodes[aNode].mQueries.erase(found);
  const Duration objective = mKinds[query.mKind].mObjective;
  if (const auto* refusal = std::get_if<RefusedOutcome>(&aAnswer.mOutcome)) {
    ++mRefusals;
    mLateRefusals += mNow - submitted > objective / 4 ? 1 : 0;
    OnRefused(query, *refusal);
    return;
  }
  if (!query.mIsCounted) {
    return;
  }
  Counts& counts = mCounts[query.mKind];
  if (!std::holds_alternative<GatheredOutcome>(aAnswer.mOutcome)) {
    ++counts.mFailed;
  } else if (mNow - query.mStart <= objective) {
    ++counts.mGood;
  } else {
    ++counts.mLate;
  }
}

void
LoadFleet::OnRefused(const Query& aQuery, const RefusedOutcome& aRefusal)
{
  const Duration left = mKinds[aQuery.mKind].mDeadline - (mNow - aQuery.mStart);
  if (aRefusal.mRetryAfter > Duration(0) && aRefusal.mRetryAfter <= left / 3) {
    const Query query = aQuery;
    Schedule(aRefusal.mRetryAfter, [this, query] { Submit(query); });
    return;
  }
  mCounts[aQuery.mKind].mRefused += aQuery.mIsCounted ? 1 : 0;
}

std::size_t
LoadFleet::Good() const
{
  std::size_t good = 0;
  for (const Counts& counts : mCounts) {
    good += counts.mGood;
  }
  return good;
}

} // namespace verbenachute
