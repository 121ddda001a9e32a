#pragma once

#include <LibCore/Verify.h>
#include <LibDispatch/DispatchGate.h>

#include "FakeConfiguration.h"

#include <algorithm>
#include <memory>

namespace verbenachute {

/// Says that everything may be dispatched until it is told otherwise.
class FakeAuthority final : public LeaseAuthority
{
public:
  bool mHolds = true;
  Revision mRequired;

  [[nodiscard]] bool MayDispatch(const Bucket& /*aBucket*/,
                                 Instant /*aNow*/) const override
  {
    return mHolds;
  }
  [[nodiscard]] Revision RequiredRevision() const override { return mRequired; }
};

/// One gate that holds one target with 2 slots and 24 connections.
class GateFixture
{
public:
  const NodeIdentity mSelf{ NodeName("node-1"), Incarnation(1) };
  const NodeIdentity mOrigin{ NodeName("node-2"), Incarnation(7) };
  const TargetName mTarget{ "t-1" };
  const Bucket mBucket = BucketOf(FailureDomain("caxias-a"), mTarget);
  Instant mNow{ seconds(100) };
  FakeAuthority mAuthority;
  FakeConfiguration mConfiguration;
  DispatchSettings mSettings;
  std::unique_ptr<DispatchGate> mGate;
  DispatchActions mActions;

  explicit GateFixture(DispatchSettings aSettings = {},
                       std::uint32_t aSlots = 2,
                       std::uint32_t aConnections = 24)
    : mSettings(std::move(aSettings))
  {
    mConfiguration.mRevision = Revision(1);
    mConfiguration.Add(TargetEntry{ mTarget,
                                    ServiceName("painel-doca"),
                                    SocketAddress{ "127.0.0.1", 9001 },
                                    FailureDomain("caxias-a"),
                                    aSlots,
                                    aConnections });
    mGate = std::make_unique<DispatchGate>(mSelf, mSettings, mAuthority);
    Configure();
    Note(mGate->OnBucketGained(mBucket, mNow));
    Note(mGate->OnProbeReply(mTarget, {}, mNow));
    mActions.clear();
  }

  void Note(DispatchActions aActions)
  {
    mActions.insert(mActions.end(), aActions.begin(), aActions.end());
  }
  void Configure()
  {
    Note(mGate->OnConfiguration(
      std::make_shared<FakeConfiguration>(mConfiguration), mNow));
  }
  [[nodiscard]] SubQuery Make(std::uint64_t aAttempt,
                              Duration aTimeLeft = milliseconds(500)) const
  {
    SubQuery sub;
    sub.mQuery = QueryId(aAttempt);
    sub.mAttempt = AttemptId(aAttempt);
    sub.mTarget = mTarget;
    sub.mService = ServiceName("painel-doca");
    sub.mFingerprint = Fingerprint(aAttempt);
    sub.mVersion = IndexVersion(7);
    sub.mTimeLeft = aTimeLeft;
    return sub;
  }
  void Submit(const SubQuery& aSubQuery)
  {
    Note(mGate->OnSubQuery(aSubQuery, mOrigin, mNow));
  }
  void Submit(std::uint64_t aAttempt) { Submit(Make(aAttempt)); }
  void Reply(DispatchId aId, TargetVerdict aVerdict = TargetVerdict::Answered)
  {
    TargetReply reply;
    reply.mVerdict = aVerdict;
    reply.mVersion = IndexVersion(7);
    Note(mGate->OnTargetReply(aId, reply, mNow));
  }
  /// Lets time pass at a gate that is not paused.
  void Wait(Duration aTime)
  {
    const Duration step = milliseconds(50);
    for (Duration passed{ 0 }; passed < aTime; passed += step) {
      mNow += std::min(step, aTime - passed);
      Note(mGate->OnTimer(mNow));
    }
  }
  /// Lets time pass at a gate that is paused.
  void Freeze(Duration aTime)
  {
    mNow += aTime;
    Note(mGate->OnTimer(mNow));
  }
  /// Answers single sub-queries until the ramp is full.
  void Warm()
  {
    for (std::uint64_t attempt = 1000000; attempt < 1000064; ++attempt) {
      Submit(attempt);
      mNow += milliseconds(2);
      Reply(Last<SendToTarget>().mDispatch);
    }
    mActions.clear();
  }

  template<typename Action>
  [[nodiscard]] std::vector<Action> All() const
  {
    std::vector<Action> found;
    for (const DispatchAction& action : mActions) {
      if (const Action* wanted = std::get_if<Action>(&action)) {
        found.push_back(*wanted);
      }
    }
    return found;
  }
  template<typename Action>
  [[nodiscard]] std::size_t Count() const
  {
    return All<Action>().size();
  }
  template<typename Action>
  [[nodiscard]] Action Last() const
  {
    const std::vector<Action> all = All<Action>();
    VERIFY(!all.empty());
    return all.back();
  }
  /// The failure in the last answer.
  [[nodiscard]] SubFailure LastFailure() const
  {
    return std::get<SubFailure>(Last<AnswerSubQuery>().mAnswer.mOutcome);
  }
};

} // namespace verbenachute
