#pragma once

#include <LibDispatch/DispatchGate.h>
#include <LibLease/LeaseHolder.h>
#include <LibLease/LeaseVoter.h>
#include <LibLease/RosterSteward.h>

#include "FakeConfiguration.h"
#include "FakeTarget.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace verbenachute {

/// How often each kind of fault comes, per second of the run; 0 is never.
struct CellFaults
{
  double mCuts = 0;
  double mFreezes = 0;
  double mKills = 0;
  double mTargetCrashes = 0;
  double mMoves = 0;
  /// Shares of messages, from 0 to 1.
  double mLate = 0;
  double mDuplicates = 0;
  double mSlowRuns = 0;
  double mPoison = 0;
};

/// Some nodes' real voters, holders, stewards and gates, the network between
/// them, targets and a store, all of them on one fake time. Each node has a
/// clock of its own that drifts within the margin.
class FakeCell
{
public:
  FakeCell(std::uint64_t aSeed, const CellFaults& aFaults, int aNodes = 5);

  void Run(Duration aTime);
  /// Ends all faults, so that the cell can recover.
  void Calm();

  [[nodiscard]] std::map<TargetName, FakeTarget>& Targets() { return mTargets; }
  /// Broken promises, in words; empty if all held.
  [[nodiscard]] std::string Violations() const;
  /// Buckets with a holder that may dispatch now.
  [[nodiscard]] std::size_t HeldBuckets() const;
  [[nodiscard]] std::size_t Buckets() const;
  [[nodiscard]] std::uint64_t Answered() const { return mAnswered; }
  [[nodiscard]] std::uint32_t PoisonCrashes(Instant aAfter) const;
  [[nodiscard]] Instant FirstPoisonCrash() const;
  /// Longest time in which an ordinary query was refused as poisoned and had
  /// no answer.
  [[nodiscard]] Duration LongestBlame() const { return mLongestBlame; }
  [[nodiscard]] RosterEpoch Epoch() const { return mStored.mEpoch; }
  [[nodiscard]] Instant Now() const { return mNow; }

private:
  struct Machines
  {
    LeaseVoter mVoter;
    LeaseHolder mHolder;
    RosterSteward mSteward;
    DispatchGate mGate;

    Machines(const NodeIdentity& aSelf,
             const LeaseSettings& aLeases,
             const DispatchSettings& aDispatch,
             Instant aNow);
  };
  struct NodeState
  {
    NodeIdentity mIdentity;
    FailureDomain mDomain;
    std::unique_ptr<Machines> mMachines;
    bool mIsFrozen = false;
    bool mMissesConfiguration = false;
    Duration mClockOffset{ 0 };
    int mClockPerMille = 0;
    Revision mRevision;
    /// When it was last started or thawed.
    Instant mAwakeSince;
    std::vector<std::function<void()>> mPending;
  };
  struct Event
  {
    Instant mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mRun;
  };
  struct IsLater
  {
    bool operator()(const Event& aOne, const Event& aOther) const
    {
      return std::pair(aOne.mAt, aOne.mOrder) >
             std::pair(aOther.mAt, aOther.mOrder);
    }
  };
  using Attempt = std::pair<NodeIdentity, AttemptId>;
  using Step = std::function<void(NodeState&)>;

  [[nodiscard]] double Chance();
  [[nodiscard]] Duration Between(Duration aLeast, Duration aMost);
  [[nodiscard]] int Pick(int aCount);
  void At(Duration aDelay, std::function<void()> aRun);
  /// Runs at one life of a node, or when it thaws, or not if that life is over.
  void AtNode(int aNode, Duration aDelay, Step aStep);
  void Send(int aFrom, int aTo, const Step& aStep, double aDuplicates);
  [[nodiscard]] Instant Local(const NodeState& aNode) const;
  [[nodiscard]] int IndexOf(const NodeName& aName) const;
  [[nodiscard]] bool IsCut(int aFrom, int aTo) const;

  void Start(int aNode);
  void Kill(int aNode);
  void Freeze(int aNode, Duration aTime);
  void Crash(const TargetName& aTarget);
  void Tick(int aNode);
  void Submit();
  void SubmitOne(bool aIsPoison);
  void TakeOutOrBack();
  void InjectFaults();
  void CheckHolders();
  void Violate(const std::string& aWhat);
  [[nodiscard]] NodeState* Awake(int aNode);
  void Apply(int aNode, const LeaseActions& aActions);
  void Apply(int aNode, const DispatchActions& aActions);
  void SendWork(int aNode, const SendToTarget& aSend);
  void Arrive(int aNode,
              const NodeIdentity& aHolder,
              const SendToTarget& aSend,
              Instant aRunUntil);
  void EndRun(int aNode,
              const NodeIdentity& aHolder,
              const SendToTarget& aSend,
              std::uint64_t aLife,
              TargetVerdict aVerdict);
  void LoseConnection(int aNode, const NodeIdentity& aHolder, DispatchId aId);
  void CancelWork(int aNode, const CancelAtTarget& aCancel);
  void ProbeOne(int aNode, const ProbeTarget& aProbe);
  void TakeAnswer(const AnswerSubQuery& aAnswer);
  void NoteBlame(Fingerprint aFingerprint, const SubFailure* aFailure);
  void Steward(int aNode);
  void Configure(NodeState& aNode);
  [[nodiscard]] FakeTarget::Key KeyOf(const NodeIdentity& aHolder,
                                      DispatchId aId) const;

  std::mt19937_64 mRandom;
  CellFaults mFaults;
  LeaseSettings mLeases;
  DispatchSettings mDispatch;
  Instant mNow{ seconds(1000) };
  std::uint64_t mOrder = 0;
  std::priority_queue<Event, std::vector<Event>, IsLater> mEvents;
  std::vector<NodeState> mNodes;
  std::map<TargetName, FakeTarget> mTargets;
  std::vector<FailureDomain> mDomains;
  std::set<std::pair<int, int>> mCuts;
  Roster mStored;
  FakeConfiguration mConfiguration;
  Instant mAccepted;
  Instant mStoreBack;
  std::map<FailureDomain, Instant> mTakenOut;
  std::uint64_t mNextAttempt = 0;
  std::uint64_t mNextIncarnation = 0;
  std::uint64_t mAnswered = 0;
  std::map<Attempt, Execution> mAnswers;
  std::map<Attempt, int> mRuns;
  std::map<Attempt, Fingerprint> mFingerprints;
  std::vector<Instant> mPoisonCrashes;
  std::map<Fingerprint, Instant> mBlamedSince;
  Duration mLongestBlame{ 0 };
  /// Broken promises and when each was broken first.
  std::map<std::string, Instant> mViolations;
};

} // namespace verbenachute
