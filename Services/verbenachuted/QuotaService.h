#pragma once

#include "GossipPort.h"

#include <LibForward/ForwardAction.h>
#include <LibObservation/Logger.h>
#include <LibObservation/MetricsRegistry.h>
#include <LibQuota/QuotaGate.h>
#include <LibQuota/QuotaLedger.h>
#include <LibRouting/ServingPlan.h>
#include <LibTransport/Timer.h>

#include <functional>
#include <map>

namespace verbenachute {

/// Gets a token for each request of a tenant with a quota, and grants the
/// tokens of the tenants that this node owns, over datagrams between nodes.
class QuotaService
{
public:
  struct Hooks
  {
    EventLoop& mLoop;
    Logger& mLogger;
    MetricsRegistry& mMetrics;
    GossipPort& mPort;
    /// The plan in force; null if there is none.
    std::function<ServingPlanPointer()> mPlan;
    /// Address at which a node receives datagrams; empty if it is not known.
    std::function<std::optional<SocketAddress>(const NodeName&)> mAddressOf;
    /// Called once for each request, possibly before Request returns.
    std::function<void(RequestNumber, const QuotaDecisionAction&)> mDecided;
  };

  QuotaService(const NodeIdentity& aSelf, const QuotaRule& aRule, Hooks aHooks);

  void SetRule(const QuotaRule& aRule);
  /// aNodes are those that the directory names, in the same order on all nodes.
  void SetNodes(const std::vector<NodeName>& aNodes,
                const std::function<bool(const NodeName&)>& aIsAlive);
  /// Requests a token for a request.
  void Request(RequestNumber aRequest, const TenantName& aTenant);
  /// The request needs no token any more.
  void Cancel(RequestNumber aRequest);
  /// A request with a token was not sent to any target.
  void Return(const TenantName& aTenant);
  /// Number of requests that wait for a token.
  [[nodiscard]] std::size_t size() const { return mRequests.size(); }

private:
  void OnDatagram(const SocketAddress& aSender, std::string_view aPayload);
  [[nodiscard]] QuotaReply Grant(const SocketAddress& aNode,
                                 const QuotaRequest& aRequest);
  void Perform(const QuotaActions& aActions);
  void Send(const SendQuotaRequestAction& aAction);
  void Decide(const QuotaDecisionAction& aDecision);
  void OnTimer();

  NodeName mSelf;
  Hooks mHooks;
  QuotaOwners mOwners;
  QuotaLedger mLedger;
  QuotaGate mGate;
  QuotaRule mRule;
  Timer mTimer;
  std::map<QuotaRequestNumber, RequestNumber> mRequests;
  std::map<RequestNumber, QuotaRequestNumber> mNumbers;
};

} // namespace verbenachute
