#include "Soak.h"

#include <LibHttp/HttpText.h>
#include <LibJson/JsonText.h>

#include <cstdio>
#include <utility>
#include <variant>

// What operators do in a soak.

namespace verbenachute::standins {

namespace {

constexpr int kStormPlans = 5;
constexpr Duration kStormGap = milliseconds(200);
constexpr int kLargeStormPlans = 20;
constexpr Duration kLargeStormGap = milliseconds(60);
constexpr Duration kOperatorTimeout = seconds(9);

} // namespace

void
Soak::Evacuate(const FailureDomain& aDomain, Duration aLength)
{
  const std::string key = "op/evacuate/" + aDomain.value();
  if (!mEvacuations.insert(key).second) {
    return;
  }
  mModel.Put(key, "{}");
  mPromises.OnDomainOut(aDomain, mLoop.Now());
  After(aLength, [this, key, aDomain]() {
    mPromises.OnDomainIn(aDomain);
    mEvacuations.erase(key);
    mModel.Remove(key);
  });
}

void
Soak::TakeDomainOut(const FailureDomain& aDomain, Duration aLength)
{
  AskOperator("take_domain_out", aDomain, [this, aDomain, aLength]() {
    mPromises.OnDomainOut(aDomain, mLoop.Now());
    After(aLength, [this, aDomain]() {
      mPromises.OnDomainIn(aDomain);
      AskOperator("bring_domain_in", aDomain, []() {});
    });
  });
}

void
Soak::AskOperator(const std::string& aType,
                  const FailureDomain& aDomain,
                  std::function<void()> aAccepted)
{
  const std::string operation = "soak-" + std::to_string(mSettings.mSeed) +
                                "-" + std::to_string(++mOperation);
  Json::Value change(Json::objectValue);
  change["operator"] = "soak";
  change["operation_id"] = operation;
  change["change"]["kind"] = "edit";
  // A shard may be left without a target for the test.
  change["change"]["override"] = true;
  change["change"]["edit"]["kind"] = aType;
  change["change"]["edit"]["domain"] = aDomain.value();
  HttpFields fields;
  fields.Add("Host", "operators");
  HttpClientStream::Exchange exchange;
  exchange.mRequest = SerializeRequest(
    "POST", "/v1/operator/changes", fields, CompactJson(change));
  exchange.mTimeout = kOperatorTimeout;
  const SocketAddress& address =
    mSettings.mOperators[mOperation % mSettings.mOperators.size()];
  mOperatorStreams.push_back(
    std::make_unique<HttpClientStream>(mLoop, address, PeerTimeouts()));
  mOperatorStreams.back()->Send(
    std::move(exchange),
    [aType, accepted = std::move(aAccepted)](const StreamOutcome& aOutcome) {
      const HttpResponse* response = std::get_if<HttpResponse>(&aOutcome);
      std::fprintf(stderr,
                   "operator %s: %d %s\n",
                   aType.c_str(),
                   response == nullptr ? 0 : response->mStatus,
                   response == nullptr ? "" : response->mBody.c_str());
      if (response != nullptr && response->mStatus == 200) {
        accepted();
      }
    });
}

void
Soak::BeginOperatorAct(const PlannedFault& aFault)
{
  const FailureDomain domain(
    mSettings.mDomains[aFault.mWhich % mSettings.mDomains.size()]);
  switch (aFault.mKind) {
    case FaultKind::PlanStorm:
      for (int i = 0; i < kStormPlans; ++i) {
        After(i * kStormGap, [this]() { AcceptPlan(PlanSize::Small); });
      }
      return;
    case FaultKind::LargePlanStorm:
      for (int i = 0; i < kLargeStormPlans; ++i) {
        After(i * kLargeStormGap, [this]() { AcceptPlan(PlanSize::Large); });
      }
      return;
    case FaultKind::DomainEvacuated:
      Evacuate(domain, aFault.mLength);
      return;
    case FaultKind::DomainOutByOperator:
      TakeDomainOut(domain, aFault.mLength);
      return;
    default:
      AcceptPlan(PlanSize::Small);
      return;
  }
}

} // namespace verbenachute::standins
