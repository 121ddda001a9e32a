#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <LibCore/TargetState.h>
#include <LibDispatch/ColdStartRamp.h>
#include <LibDispatch/DispatchSettings.h>
#include <LibDispatch/SubQueryQueue.h>
#include <LibDispatch/TargetJudge.h>
#include <LibDispatch/Work.h>
#include <LibLease/Bucket.h>

#include <optional>
#include <set>
#include <vector>

namespace verbenachute {

/// Whether a connection is wanted for work or for probes and cancellations.
enum class ExchangeKind
{
  Work,
  Control,
};

/// One target at its holder: the queue before it and what runs at it. It keeps
/// the slots and the holder's share of the connections.
class TargetLane
{
public:
  TargetLane(const TargetEntry& aEntry, const DispatchSettings& aSettings);

  [[nodiscard]] const TargetEntry& Entry() const { return mEntry; }
  [[nodiscard]] Bucket OwnBucket() const;
  /// Takes a changed entry; a target at another address may be cold.
  void OnEntry(const TargetEntry& aEntry, Instant aNow);
  /// Follows whether the operators let the target take new work. One that is
  /// let back starts from cold.
  void OnAdmittance(Admittance aAdmittance, Instant aNow);
  /// Nothing is known about the target under a new lease.
  void Forget(Instant aNow);

  [[nodiscard]] SubQueryQueue& Queue() { return mQueue; }
  [[nodiscard]] const SubQueryQueue& Queue() const { return mQueue; }
  [[nodiscard]] ColdStartRamp& Ramp() { return mRamp; }
  [[nodiscard]] TargetJudge& Judge() { return mJudge; }
  [[nodiscard]] const TargetJudge& Judge() const { return mJudge; }

  /// Slots that this holder uses at most: those of the entry, as far as its
  /// connections reach.
  [[nodiscard]] std::uint32_t FullLimit() const;
  [[nodiscard]] std::uint32_t Limit() const;
  [[nodiscard]] std::uint32_t ConnectionShare() const;
  [[nodiscard]] bool HasConnection(ExchangeKind aKind) const;
  /// Whether one more sub-query may be sent.
  [[nodiscard]] bool HasRoom(Trial aTrial) const;
  /// How long a new sub-query of this weight would wait.
  [[nodiscard]] Duration ExpectedWait(std::uint32_t aWeight,
                                      Duration aUsualService) const;

  /// Takes a slot and a connection for work that is sent.
  void Start(Work* aWork);
  void FreeSlot(Work* aWork);
  void FreeConnection(Work* aWork);
  void StartControl();
  void EndControl();
  /// Work that may still run at the target.
  [[nodiscard]] const std::set<DispatchId>& Running() const { return mRunning; }
  [[nodiscard]] bool IsIdle() const;

  /// Takes the versions that the target says it holds.
  void OnVersions(const std::vector<HeldVersion>& aVersions);
  /// Another node told this about the target; later states count on from it.
  void OnHeardState(const TargetState& aState);
  /// The state, if it differs from the one that was published last.
  [[nodiscard]] std::optional<TargetState> StateToPublish();

  [[nodiscard]] Instant NextProbe() const { return mNextProbe; }
  void SetNextProbe(Instant aAt) { mNextProbe = aAt; }
  [[nodiscard]] bool IsProbing() const { return mIsProbing; }
  void StartProbe();
  /// Gives false if no probe was under way.
  [[nodiscard]] bool EndProbe();

private:
  TargetEntry mEntry;
  Admittance mAdmittance = Admittance::Admitted;
  DispatchSettings mSettings;
  SubQueryQueue mQueue;
  ColdStartRamp mRamp;
  TargetJudge mJudge;
  std::set<DispatchId> mRunning;
  std::set<DispatchId> mOnTrial;
  std::uint32_t mWorkConnections = 0;
  std::uint32_t mControlConnections = 0;
  bool mIsProbing = false;
  Instant mNextProbe;
  TargetState mPublished;
  std::vector<HeldVersion> mVersions;
};

} // namespace verbenachute
