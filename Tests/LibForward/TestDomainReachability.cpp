#include "ForwardRig.h"

#include <LibForward/DomainReachability.h>

#include <algorithm>
#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Instant kNow(seconds(9));

TargetName
NameOf(int aNumber)
{
  return TargetName("t" + std::to_string(aNumber));
}

/// Lists one target for each shard of the rig: every second one in the domain
/// "far", the others in this node's own domain.
void
ListHalfInFarDomain(ForwardRig* aRig, int aShards)
{
  for (int i = 0; i < aShards; ++i) {
    const std::string service = "s" + std::to_string(i);
    aRig->ListTarget(service + "-0",
                     service,
                     TargetAvailability::Ready,
                     i % 2 == 0 ? "" : "far");
  }
}

/// Answers all running attempts in this node's own domain.
void
AnswerInOwnDomain(ForwardRig* aRig)
{
  for (const SendAction& send : aRig->Open()) {
    const TargetRecord* target = aRig->mEngine.Targets().Find(send.mTarget);
    if (target->Listed().mDomain == FailureDomain("")) {
      aRig->Answer(send.mAttempt);
    }
  }
}

} // namespace

TEST_CASE(
  "Several unresponsive targets and no answer make a domain suspected, then "
  "unreachable")
{
  DomainReachability reachability;
  for (int i = 0; i < 3; ++i) {
    reachability.OnNoResponse(2, NameOf(i), kNow);
  }
  reachability.OnNoResponse(2, NameOf(0), kNow);
  CHECK(!reachability.IsSuspected(2, kNow + seconds(9)));
  reachability.OnNoResponse(2, NameOf(3), kNow);
  CHECK(!reachability.IsSuspected(2, kNow + milliseconds(140)));
  CHECK(reachability.IsSuspected(2, kNow + milliseconds(150)));
  CHECK(!reachability.IsUnreachable(2, kNow + milliseconds(150)));
  CHECK(reachability.IsUnreachable(2, kNow + milliseconds(800)));
  CHECK(!reachability.IsSuspected(1, kNow + seconds(9)));
  reachability.OnResponse(2);
  CHECK(!reachability.IsSuspected(2, kNow + seconds(9)));
}

TEST_CASE(
  "Probes of a suspected domain are spaced, and indexes beyond the table "
  "are ignored")
{
  DomainReachability reachability;
  CHECK(reachability.IsProbeDue(0, kNow));
  reachability.BeginProbe(0, kNow);
  CHECK(!reachability.IsProbeDue(0, kNow + milliseconds(199)));
  CHECK(reachability.IsProbeDue(0, kNow + milliseconds(200)));
  reachability.OnNoResponse(kMaximumDomains, NameOf(0), kNow);
  reachability.OnResponse(kMaximumDomains);
  CHECK(!reachability.IsSuspected(kMaximumDomains, kNow));
}

TEST_CASE(
  "Callers of a node that is cut off from half of the shards are refused "
  "immediately and get a Retry-After time")
{
  // Guards against callers that wait for nothing when a failure domain is cut
  // off while its callers still reach its nodes: half of the shards do not
  // answer, and a coverage of at least 0.89 is required.
  ForwardRig rig(8, 0.89);
  ListHalfInFarDomain(&rig, 8);
  for (int i = 0; i < 40; ++i) {
    rig.Submit("/gather/" + std::to_string(i), milliseconds(600));
    AnswerInOwnDomain(&rig);
    rig.Pass(milliseconds(40));
  }
  CHECK(rig.mEngine.IsDomainUnreachable(FailureDomain("far"), rig.mNow));
  CHECK(!rig.mEngine.IsDomainUnreachable(FailureDomain(""), rig.mNow));
  // Apart from a probe now and then no caller is kept waiting.
  std::size_t refused = 0;
  std::size_t unanswered = 0;
  for (int i = 0; i < 50; ++i) {
    const RequestNumber number =
      rig.Submit("/gather/b" + std::to_string(i), milliseconds(600));
    AnswerInOwnDomain(&rig);
    const RefusedOutcome* outcome = rig.OutcomeOf<RefusedOutcome>(number);
    refused += outcome != nullptr ? 1 : 0;
    unanswered += rig.AnswerOf(number) == nullptr ? 1 : 0;
    if (outcome != nullptr) {
      CHECK(outcome->mReason == RefusalReason::NoTarget);
      CHECK(outcome->mRetryAfter > Duration(0));
    }
    rig.Pass(milliseconds(40));
  }
  CHECK(refused >= 38);
  CHECK(unanswered <= 12);
  // The next probe is admitted once the running one has ended, and one answer
  // from the domain ends the refusals.
  const Instant giveUp = rig.mNow + milliseconds(1100);
  RequestNumber probe = rig.Submit("/gather/c", milliseconds(600));
  while (rig.AnswerOf(probe) != nullptr && rig.mNow < giveUp) {
    rig.Pass(milliseconds(20));
    probe = rig.Submit("/gather/c", milliseconds(600));
  }
  REQUIRE(rig.AnswerOf(probe) == nullptr);
  for (const SendAction& send : rig.Open()) {
    rig.Answer(send.mAttempt);
  }
  CHECK(!rig.mEngine.IsDomainUnreachable(FailureDomain("far"), rig.mNow));
  CHECK(rig.OutcomeOf<GatheredOutcome>(probe) != nullptr);
  const RequestNumber next = rig.Submit("/gather/d", milliseconds(600));
  for (const SendAction& send : rig.Open()) {
    rig.Answer(send.mAttempt);
  }
  CHECK(rig.OutcomeOf<GatheredOutcome>(next) != nullptr);
}

TEST_CASE(
  "If another domain has a copy, only a probe is sent to a suspected domain")
{
  // Guards against requests that hang when a domain loses power and its
  // connections stay open. Its targets are avoided even if none of them has
  // been sent a request before.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ForwardSettings settings = ForwardRig::Defaults();
    settings.mSeed = seed;
    ForwardRig rig(8, 0.5, settings);
    for (int i = 0; i < 8; ++i) {
      const std::string service = "s" + std::to_string(i);
      rig.ListTarget(service + "-0", service, TargetAvailability::Ready, "far");
      rig.ListTarget(
        service + "-1", service, TargetAvailability::Ready, "back");
      rig.ListTarget("single-" + std::to_string(i),
                     "single",
                     TargetAvailability::Ready,
                     "far");
    }
    for (int i = 0; i < 8; ++i) {
      rig.Submit("/single/" + std::to_string(i), milliseconds(600));
    }
    rig.Pass(milliseconds(300));
    const std::size_t before = rig.mSent.size();
    rig.Submit("/gather/1", milliseconds(600));
    const auto far =
      std::count_if(rig.mSent.begin() + static_cast<std::ptrdiff_t>(before),
                    rig.mSent.end(),
                    [](const SendAction& aSend) {
                      return aSend.mTarget.value().ends_with("-0");
                    });
    CHECK(rig.mSent.size() - before == 8);
    CHECK(far <= 1);
  }
}

} // namespace verbenachute
