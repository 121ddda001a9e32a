#include "QuotaService.h"

#include <LibCore/Overloaded.h>
#include <LibQuota/QuotaCodec.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// Numbers start at the incarnation shifted by this many bits, so that a reply
// to an earlier incarnation of this node matches no request of this one.
constexpr unsigned kIncarnationShift = 20;
// Tenants are owned by the first nodes of the directory, which change less
// often than the number of nodes that it names.
constexpr std::size_t kMaximumOwners = 8;

} // namespace

QuotaService::QuotaService(const NodeIdentity& aSelf,
                           const QuotaRule& aRule,
                           Hooks aHooks)
  : mSelf(aSelf.mName)
  , mHooks(std::move(aHooks))
  , mOwners(mHooks.mLoop.Now())
  , mLedger(aRule)
  , mGate(mOwners,
          QuotaRequestNumber(aSelf.mIncarnation.value() << kIncarnationShift))
  , mRule(aRule)
  , mTimer(mHooks.mLoop, [this]() { OnTimer(); })
{
  mHooks.mPort.SetReceiver(
    PeerDatagramKind::Quota,
    [this](const SocketAddress& aSender, std::string_view aPayload) {
      OnDatagram(aSender, aPayload);
    });
}

void
QuotaService::SetRule(const QuotaRule& aRule)
{
  mRule = aRule;
  mLedger.SetRule(aRule);
}

void
QuotaService::SetNodes(const std::vector<NodeName>& aNodes,
                       const std::function<bool(const NodeName&)>& aIsAlive)
{
  const std::size_t count = std::min(aNodes.size(), kMaximumOwners);
  mOwners.Update(
    std::vector<NodeName>(aNodes.begin(),
                          aNodes.begin() + static_cast<std::ptrdiff_t>(count)),
    aIsAlive,
    mHooks.mLoop.Now());
  mLedger.OnTime(mHooks.mLoop.Now());
}

void
QuotaService::Request(RequestNumber aRequest, const TenantName& aTenant)
{
  QuotaActions actions;
  const QuotaRequestNumber number =
    mGate.Request(aTenant, &actions, mHooks.mLoop.Now());
  mRequests.emplace(number, aRequest);
  mNumbers.emplace(aRequest, number);
  Perform(actions);
}

void
QuotaService::Cancel(RequestNumber aRequest)
{
  const auto found = mNumbers.find(aRequest);
  if (found == mNumbers.end()) {
    return;
  }
  mGate.Cancel(found->second);
  mRequests.erase(found->second);
  mNumbers.erase(found);
}

void
QuotaService::Return(const TenantName& aTenant)
{
  mGate.Return(aTenant, mHooks.mLoop.Now());
}

void
QuotaService::OnDatagram(const SocketAddress& aSender,
                         std::string_view aPayload)
{
  const Result<QuotaMessage> message = DecodeQuota(aPayload);
  if (IsError(message)) {
    mHooks.mLogger.Log(
      LogEvent(EventNumber::PeerMessageRefused).WithError(ErrorOf(message)));
    return;
  }
  std::visit(Overloaded{ [&](const QuotaRequest& aRequest) {
                          mHooks.mPort.Send(
                            PeerDatagramKind::Quota,
                            EncodeQuota(Grant(aSender, aRequest)),
                            { aSender });
                        },
                         [&](const QuotaReply& aReply) {
                           Perform(mGate.OnReply(aReply, mHooks.mLoop.Now()));
                         } },
             ValueOf(message));
}

QuotaReply
QuotaService::Grant(const SocketAddress& aNode, const QuotaRequest& aRequest)
{
  const Instant now = mHooks.mLoop.Now();
  const ServingPlanPointer plan = mHooks.mPlan();
  const Tenant* tenant =
    plan == nullptr ? nullptr : plan->FindTenant(aRequest.mTenant);
  if (tenant == nullptr) {
    // The other node has a newer plan, or an older one.
    return QuotaReply{ aRequest.mNumber,
                       QuotaDecision::Unknown,
                       TokenBucket::kMaximumWait };
  }
  if (!tenant->mQuota.IsLimited()) {
    return QuotaReply{ aRequest.mNumber, QuotaDecision::Granted, Duration(0) };
  }
  const QuotaView view{ mOwners.VisibleFraction(now),
                        mOwners.AreStableFor(mRule.mWindow, now) };
  return mLedger.Answer(aNode, aRequest, tenant->mQuota, view, now);
}

void
QuotaService::Perform(const QuotaActions& aActions)
{
  for (const QuotaAction& action : aActions) {
    std::visit(
      Overloaded{
        [this](const SendQuotaRequestAction& aSend) { Send(aSend); },
        [this](const QuotaDecisionAction& aDecision) { Decide(aDecision); } },
      action);
  }
  const std::optional<Instant> next = mGate.NextWake();
  if (next.has_value()) {
    mTimer.Start(*next - mHooks.mLoop.Now());
  } else {
    mTimer.Stop();
  }
}

void
QuotaService::Send(const SendQuotaRequestAction& aAction)
{
  if (aAction.mNode == mSelf) {
    Perform(mGate.OnReply(Grant(SocketAddress(), aAction.mRequest),
                          mHooks.mLoop.Now()));
    return;
  }
  const std::optional<SocketAddress> address = mHooks.mAddressOf(aAction.mNode);
  if (address.has_value()) {
    mHooks.mMetrics.Add(Counter::QuotaRequestsSent);
    mHooks.mPort.Send(
      PeerDatagramKind::Quota, EncodeQuota(aAction.mRequest), { *address });
  }
}

void
QuotaService::Decide(const QuotaDecisionAction& aDecision)
{
  const auto found = mRequests.find(aDecision.mNumber);
  if (found == mRequests.end()) {
    return;
  }
  const RequestNumber request = found->second;
  mRequests.erase(found);
  mNumbers.erase(request);
  mHooks.mDecided(request, aDecision);
}

void
QuotaService::OnTimer()
{
  Perform(mGate.OnTime(mHooks.mLoop.Now()));
}

} // namespace verbenachute
