#include "ForwardRig.h"

#include <LibCore/Overloaded.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

Route
RouteTo(const std::string& aName, RepeatPolicy aRepeatPolicy)
{
  Route route;
  route.mName = aName;
  route.mHost = ForwardRig::kHost;
  route.mPathPrefix = "/" + aName + "/";
  route.mRepeatPolicy = aRepeatPolicy;
  route.mDeadline = milliseconds(1500);
  route.mLatencyObjective = milliseconds(100);
  route.mMaximumAttempts = 2;
  route.mPriority = 1;
  return route;
}

} // namespace

ForwardSettings
ForwardRig::Defaults()
{
  ForwardSettings settings;
  settings.mBudgetLimits = AttemptBudgetLimits{ 0.2, 50, seconds(10) };
  return settings;
}

ForwardRig::ForwardRig(std::size_t aShards,
                       double aMinimumCoverage,
                       ForwardSettings aSettings)
  : mEngine(aSettings)
{
  mContent.mVersion = PlanVersion(1);
  Route gather = RouteTo("gather", RepeatPolicy::Idempotent);
  ShardSet shards;
  shards.mMaximumRecords = 2;
  shards.mMinimumCoverage = aMinimumCoverage;
  for (std::size_t i = 0; i < aShards; ++i) {
    shards.mShards.emplace_back("s" + std::to_string(i));
  }
  gather.mDestination = shards;
  Route single = RouteTo("single", RepeatPolicy::Idempotent);
  single.mDestination = SingleDestination{ { { ServiceName("single"), 1 } } };
  Route once = RouteTo("once", RepeatPolicy::AtMostOnce);
  once.mDestination = SingleDestination{ { { ServiceName("once"), 1 } } };
  mContent.mRoutes = { gather, single, once };
  std::vector<ServiceName> services = shards.mShards;
  services.emplace_back("single");
  services.emplace_back("once");
  for (const ServiceName& service : services) {
    ServiceSettings serviceSettings;
    serviceSettings.mName = service;
    serviceSettings.mMaximumConnections = 26;
    mContent.mServices.push_back(serviceSettings);
  }
  mEngine.SetPlan(std::make_shared<const ServingPlan>(mContent));
}

void
ForwardRig::ListTarget(const std::string& aName,
                       const std::string& aService,
                       TargetAvailability aAvailability,
                       const std::string& aDomain)
{
  ListedTarget target;
  target.mName = TargetName(aName);
  target.mService = ServiceName(aService);
  target.mAddress = SocketAddress{ "10.0.0.1", 1 };
  target.mSlots = 2;
  target.mAvailability = aAvailability;
  target.mDomain = FailureDomain(aDomain);
  mEngine.Targets().List(target, mNow);
}

void
ForwardRig::ListAll()
{
  for (const ServiceSettings& serviceSettings : mContent.mServices) {
    for (const char* suffix : { "-0", "-1" }) {
      ListTarget(serviceSettings.mName.value() + suffix,
                 serviceSettings.mName.value());
    }
  }
}

void
ForwardRig::ListAcrossDomains(std::size_t aLocalShards)
{
  const ShardSet& shards =
    std::get<ShardSet>(mContent.mRoutes.front().mDestination);
  for (std::size_t i = 0; i < shards.mShards.size(); ++i) {
    const std::string service = shards.mShards[i].value();
    const std::string first = i < aLocalShards ? "" : "far";
    const std::string second = i < aLocalShards ? "far" : "back";
    ListTarget(service + "-0", service, TargetAvailability::Ready, first);
    ListTarget(service + "-1", service, TargetAvailability::Ready, second);
  }
  mEngine.Peers().SetNodes({ PeerNode{
    NodeName("peer"), FailureDomain("far"), 250, mContent.mVersion } });
}

RequestNumber
ForwardRig::Submit(const std::string& aPath,
                   std::optional<Duration> aTimeout,
                   Duration aConnectTime)
{
  const RequestNumber number(mNextNumber++);
  CallerRequest request;
  request.mId = RequestId("r" + std::to_string(number.value()));
  request.mMethod = "GET";
  request.mTarget = aPath;
  request.mHost = mHost;
  request.mTenant = mTenant;
  request.mTimeLimit = aTimeout;
  request.mConnectTime = aConnectTime;
  request.mArrivalTime = mNow;
  Take(mEngine.Submit(
    number, std::make_shared<const CallerRequest>(request), mNow));
  return number;
}

void
ForwardRig::Pass(Duration aTime)
{
  const Instant end = mNow + aTime;
  while (mEngine.NextWake().has_value() && *mEngine.NextWake() <= end) {
    mNow = std::max(mNow, *mEngine.NextWake());
    Take(mEngine.OnTime(mNow));
  }
  mNow = end;
}

void
ForwardRig::Answer(AttemptId aAttempt, const std::string& aBody)
{
  PartReply reply;
  reply.mKind = ReplyKind::Answered;
  reply.mStatus = 200;
  reply.mBody = aBody;
  reply.mSignature = "signature-" + std::to_string(aAttempt.value());
  mOpen.erase(aAttempt);
  Take(mEngine.OnReply(aAttempt, reply, mNow));
}

void
ForwardRig::Decline(AttemptId aAttempt)
{
  PartReply reply;
  reply.mKind = ReplyKind::Declined;
  reply.mStatus = 503;
  mOpen.erase(aAttempt);
  Take(mEngine.OnReply(aAttempt, reply, mNow));
}

void
ForwardRig::FailSigned(AttemptId aAttempt)
{
  PartReply reply;
  reply.mKind = ReplyKind::Failed;
  reply.mStatus = 500;
  reply.mSignature = "signed";
  mOpen.erase(aAttempt);
  Take(mEngine.OnReply(aAttempt, reply, mNow));
}

void
ForwardRig::FailSignedAsNotRun(AttemptId aAttempt)
{
  PartReply reply;
  reply.mKind = ReplyKind::Failed;
  reply.mStatus = 503;
  reply.mReadsAsNotRun = true;
  reply.mSignature = "signed";
  mOpen.erase(aAttempt);
  Take(mEngine.OnReply(aAttempt, reply, mNow));
}

void
ForwardRig::Break(AttemptId aAttempt, AttemptFailure aFailure)
{
  mOpen.erase(aAttempt);
  Take(mEngine.OnFailure(aAttempt, aFailure, mNow));
}

std::vector<SendAction>
ForwardRig::Open() const
{
  std::vector<SendAction> open;
  for (const auto& entry : mOpen) {
    open.push_back(entry.second);
  }
  return open;
}

const AnswerAction*
ForwardRig::AnswerOf(RequestNumber aNumber) const
{
  const auto found = mAnswers.find(aNumber);
  return found == mAnswers.end() ? nullptr : &found->second;
}

void
ForwardRig::Take(ForwardActions aActions)
{
  for (const ForwardAction& action : aActions) {
    std::visit(
      Overloaded{
        [this](const SendAction& aSend) {
          CHECK(aSend.mTimeLeft > Duration(0));
          mSent.push_back(aSend);
          mOpen.emplace(aSend.mAttempt, aSend);
        },
        [this](const CancelAction& aCancel) {
          mCancelled.push_back(aCancel.mAttempt);
          mOpen.erase(aCancel.mAttempt);
        },
        [this](const AnswerAction& aAnswer) {
          // Each request is answered once.
          CHECK(mAnswers.emplace(aAnswer.mNumber, aAnswer).second);
        },
        [this](const DelegateAction& aDelegate) {
          CHECK(aDelegate.mDelegationRequest.mTimeLeft > Duration(0));
          mDelegated.push_back(aDelegate);
        },
        [this](const CancelDelegationAction& aCancellation) {
          mCancelledDelegations.push_back(aCancellation);
        },
        [this](const ReportAction& aReport) { mReports.push_back(aReport); } },
      action);
  }
}

} // namespace verbenachute
