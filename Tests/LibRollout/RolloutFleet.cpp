#include "RolloutFleet.h"

#include <LibRollout/RolloutCodec.h>
#include <LibRollout/RolloutLeaders.h>

#include <algorithm>

namespace verbenachute {

namespace {

const ServiceName kService("s");
constexpr Duration kDuration = seconds(12);
constexpr Duration kLink = milliseconds(2);
constexpr Duration kStoreCall = milliseconds(20);
constexpr std::size_t kBadLimit = 50;

} // namespace

RolloutFleet::RolloutFleet(const Options& aOptions, Version aNew)
  : mOptions(aOptions)
  , mNew(std::move(aNew))
  , mRandom(aOptions.mSeed)
  , mStart(seconds(1000))
  , mNow(mStart)
{
  for (std::size_t i = 0; i < aOptions.mNodes; ++i) {
    const NodeName name("n" + std::to_string(i));
    mNodes[name];
    // Nodes learn of the order with a delay.
    After(milliseconds(5 + mRandom() % 60),
          [this, name]() { Start(name, mNow); });
  }
  After(Duration(0), [this]() { SendRequest(); });
}

UnixMilliseconds
RolloutFleet::Wall() const
{
  return std::chrono::duration_cast<UnixMilliseconds>(mNow.time_since_epoch());
}

void
RolloutFleet::Start(const NodeName& aName, std::optional<Instant> aStart)
{
  Node& node = mNodes[aName];
  const RolloutOrder order{ kService, "v2", kDuration, StoreRevision(7) };
  node.mMachine = std::make_unique<RolloutMachine>(
    RolloutMachine::Setup{
      NodeIdentity{ aName, Incarnation(node.mIncarnation) },
      order,
      RolloutRule(),
      { "v1" },
      aStart },
    mNow);
  node.mRunningOld = 0;
  if (mRecord.mPhase != RolloutPhase::Unknown) {
    node.mMachine->OnRecord(mRecord, mRevision, Wall(), mNow);
  }
  UpdateServing();
  Tick(aName);
}

void
RolloutFleet::Kill(const NodeName& aNode)
{
  mNodes[aNode].mMachine.reset();
  ++mNodes[aNode].mIncarnation;
  UpdateServing();
}

void
RolloutFleet::Restart(const NodeName& aNode)
{
  Start(aNode, std::nullopt);
}

void
RolloutFleet::SplitViews()
{
  mHasSplitViews = true;
  UpdateServing();
}

void
RolloutFleet::UpdateServing()
{
  std::vector<NodeName> serving;
  for (const auto& [name, node] : mNodes) {
    if (node.mMachine != nullptr) {
      serving.push_back(name);
    }
  }
  const std::vector<NodeName> leaders = RolloutLeaders(kService, serving, 2);
  for (const auto& [name, node] : mNodes) {
    if (node.mMachine == nullptr) {
      continue;
    }
    std::vector<NodeName> view = serving;
    if (mHasSplitViews && name == leaders.back()) {
      std::erase(view, leaders.front());
    }
    node.mMachine->SetServingNodes(view);
  }
}

NodeName
RolloutFleet::Coordinator() const
{
  std::vector<NodeName> serving;
  for (const auto& [name, node] : mNodes) {
    if (node.mMachine != nullptr) {
      serving.push_back(name);
    }
  }
  return RolloutLeaders(kService, serving, 1).front();
}

void
RolloutFleet::After(Duration aDelay, std::function<void()> aEvent)
{
  mEvents.emplace(mNow + aDelay, std::move(aEvent));
}

void
RolloutFleet::RunUntil(Duration aElapsed)
{
  while (!mEvents.empty() && mEvents.begin()->first <= mStart + aElapsed) {
    const auto next = mEvents.begin();
    mNow = next->first;
    const std::function<void()> event = std::move(next->second);
    mEvents.erase(next);
    event();
  }
  mNow = mStart + aElapsed;
}

void
RolloutFleet::Tick(const NodeName& aName)
{
  Node& node = mNodes[aName];
  if (node.mMachine == nullptr) {
    return;
  }
  node.mMachine->SetTargets(true, node.mRunningOld);
  const RolloutOutput output = node.mMachine->OnTime(Wall(), mNow);
  if (output.mWrite.has_value()) {
    Write(aName, *output.mWrite);
  }
  std::uniform_real_distribution<double> chance(0, 1);
  for (const RolloutDispatch& dispatch : output.mDispatches) {
    const std::string bytes = EncodeRolloutReport(dispatch.mReport);
    for (const NodeName& receiver : dispatch.mReceivers) {
      const auto deliver = [this, receiver, bytes]() {
        RolloutMachine* machine = mNodes[receiver].mMachine.get();
        if (machine != nullptr) {
          machine->OnReport(ValueOf(DecodeRolloutReport(bytes)), mNow);
        }
      };
      if (chance(mRandom) >= mOptions.mLoss) {
        After(kLink, deliver);
      }
      if (mOptions.mRepeats) {
        After(milliseconds(700), deliver);
      }
    }
  }
  const std::uint64_t incarnation = node.mIncarnation;
  After(RolloutMachine::kTick, [this, aName, incarnation]() {
    if (mNodes[aName].mIncarnation == incarnation) {
      Tick(aName);
    }
  });
}

void
RolloutFleet::Write(const NodeName& aName, const RolloutWrite& aWrite)
{
  if (mIsStoreDown) {
    return;
  }
  const bool isLost = mWriteDelay > Duration(0);
  After(isLost ? mWriteDelay : kStoreCall, [this, aName, aWrite, isLost]() {
    const bool isCurrent = aWrite.mExpected == mRevision;
    if (isCurrent) {
      Apply(aWrite);
    }
    RolloutMachine* machine = mNodes[aName].mMachine.get();
    if (machine == nullptr || isLost) {
      return;
    }
    if (isCurrent) {
      machine->OnWritten(aWrite, mRevision);
    } else {
      machine->OnWriteFailed(mNow);
    }
  });
}

void
RolloutFleet::Apply(const RolloutWrite& aWrite)
{
  mRevision = StoreRevision(std::max<std::uint64_t>(8, mRevision.value() + 1));
  mRecord = aWrite.mRecord;
  if (mRecord.mPhase == RolloutPhase::Done) {
    mCut += mRunningOld;
  }
  for (auto& [name, node] : mNodes) {
    After(milliseconds(5 + mRandom() % 60),
          [this, name, record = mRecord, revision = mRevision]() {
            RolloutMachine* machine = mNodes[name].mMachine.get();
            if (machine != nullptr) {
              machine->OnRecord(record, revision, Wall(), mNow);
            }
          });
  }
}

void
RolloutFleet::SendRequest()
{
  std::exponential_distribution<double> gap(mOptions.mRate);
  After(Duration(static_cast<Duration::rep>(1e6 * gap(mRandom))),
        [this]() { SendRequest(); });
  const auto chosen = std::next(
    mNodes.begin(), static_cast<std::ptrdiff_t>(mRandom() % mNodes.size()));
  Node& node = chosen->second;
  if (node.mMachine == nullptr) {
    return;
  }
  const std::size_t routeIndex = mRandom() % mOptions.mRoutes;
  const std::string route = "r" + std::to_string(routeIndex);
  const bool isNew =
    node.mMachine->RankOf("v2", route) == VersionRank::Preferred;
  const RolloutVersion version =
    isNew ? RolloutVersion::New : RolloutVersion::Old;
  std::uniform_real_distribution<double> chance(0, 1);
  std::lognormal_distribution<double> spread(0, 0.4);
  Response response{ chance(mRandom) < 0.002, milliseconds(30) };
  if (isNew) {
    response = mNew(Elapsed(), routeIndex, chance(mRandom));
  }
  const bool isBad =
    isNew && (response.mIsFailed || response.mLatency > milliseconds(100));
  const Duration latency(static_cast<Duration::rep>(
    static_cast<double>(response.mLatency.count()) * spread(mRandom)));
  ++mSent;
  if (isNew) {
    mNewTimes.push_back(mNow);
    mSentNewUntilDeadline += Elapsed() <= kDuration ? 1 : 0;
  } else {
    ++node.mRunningOld;
    ++mRunningOld;
  }
  node.mMachine->OnSent(route, version);
  const std::uint64_t incarnation = node.mIncarnation;
  After(latency, [=, this, name = chosen->first]() {
    Node& sender = mNodes[name];
    mRunningOld -= isNew ? 0 : 1;
    mBad += isBad ? 1 : 0;
    if (isBad && mBad == kBadLimit) {
      mFiftiethBad = mNow;
    }
    if (sender.mIncarnation != incarnation || sender.mMachine == nullptr) {
      return;
    }
    sender.mRunningOld -= isNew ? 0 : 1;
    sender.mMachine->OnEnded(route,
                             version,
                             response.mIsFailed ? AttemptEnd::Failed
                                                : AttemptEnd::Answered,
                             latency);
  });
}

bool
RolloutFleet::IsWithinExposure() const
{
  const RolloutRule rule;
  const double requests = mOptions.mRate * 12;
  return static_cast<double>(mSentNewUntilDeadline) <=
         rule.mShare * requests + rule.mSlack;
}

std::size_t
RolloutFleet::SentAfterRollback() const
{
  if (!mFiftiethBad.has_value()) {
    return 0;
  }
  const Instant limit = *mFiftiethBad + RolloutRule().mRollbackTime;
  return static_cast<std::size_t>(
    std::count_if(mNewTimes.begin(), mNewTimes.end(), [&](Instant aTime) {
      return aTime > limit;
    }));
}

} // namespace verbenachute
