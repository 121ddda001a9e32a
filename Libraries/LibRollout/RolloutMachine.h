#pragma once

#include <LibForward/VersionPolicy.h>
#include <LibRollout/RolloutEvidence.h>
#include <LibRollout/RolloutOrder.h>
#include <LibRollout/RolloutOutput.h>
#include <LibRollout/RolloutRule.h>
#include <LibRollout/RolloutTotals.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenachute {

/// One order on one node: which versions get requests, what is counted, and,
/// on the coordinator, which phase is written. It does no I/O; OnTime is to be
/// called at least every kTick and after each report.
class RolloutMachine
{
public:
  static constexpr Duration kTick = milliseconds(50);

  struct Setup
  {
    NodeIdentity mSelf;
    RolloutOrder mOrder;
    RolloutRule mRule;
    /// Versions that served before the order; empty if the node does not know
    /// them. Then every version but that of the order counts as one.
    std::vector<std::string> mOldVersions;
    /// Time of the order; empty if the node has found it on its start.
    std::optional<Instant> mStart;
  };

  RolloutMachine(Setup aSetup, Instant aNow);

  [[nodiscard]] const RolloutOrder& Order() const { return mSetup.mOrder; }
  [[nodiscard]] RolloutPhase Phase() const { return mPhase; }
  [[nodiscard]] bool IsStopped() const { return mIsStopped; }
  /// Whether the order is neither done nor rolled back.
  [[nodiscard]] bool IsOpen() const;
  /// Versions that served before an order that replaces this one now.
  [[nodiscard]] std::vector<std::string> VersionsInForce() const;
  /// Empty if the order does not allow the version.
  [[nodiscard]] std::optional<RolloutVersion> KindOf(
    const std::string& aVersion) const;
  [[nodiscard]] VersionRank RankOf(const std::string& aVersion,
                                   const std::string& aRoute) const;

  void SetRule(const RolloutRule& aRule) { mSetup.mRule = aRule; }
  /// The nodes that serve, this one included if it does.
  void SetServingNodes(std::vector<NodeName> aNodes);
  /// What the node sees of the targets of the service.
  void SetTargets(bool aHasNew, std::uint64_t aRunningOld);

  void OnSent(const std::string& aRoute, RolloutVersion aVersion);
  /// aLatency is empty for targets that were cold.
  void OnEnded(const std::string& aRoute,
               RolloutVersion aVersion,
               AttemptEnd aEnd,
               std::optional<Duration> aLatency);

  /// This product's key for the service has changed; aRecord is empty if it has
  /// been removed, with revision 0, or can not be read.
  void OnRecord(const std::optional<RolloutRecord>& aRecord,
                StoreRevision aRevision,
                UnixMilliseconds aWallTime,
                Instant aNow);
  void OnReport(const RolloutReport& aReport, Instant aNow);
  /// The store has confirmed a write.
  void OnWritten(const RolloutWrite& aWrite, StoreRevision aRevision);
  /// A write failed or its outcome is not known.
  void OnWriteFailed(Instant aNow);

  [[nodiscard]] RolloutOutput OnTime(UnixMilliseconds aWallTime, Instant aNow);

private:
  enum class Mode
  {
    OldOnly,
    Canary,
    NewOnly,
  };

  [[nodiscard]] Mode CurrentMode() const;
  [[nodiscard]] double& CreditOf(const std::string& aRoute);
  [[nodiscard]] double ShareOf(const std::string& aRoute) const;
  [[nodiscard]] bool IsCoordinator() const;
  [[nodiscard]] std::optional<Duration> Elapsed(Instant aNow) const;
  /// Time until the deadline; empty if the time of the order is not known.
  [[nodiscard]] std::optional<Duration> TimeLeft(Instant aNow) const;
  void SetPhase(RolloutPhase aPhase, std::string_view aSource);
  void Stop(std::string_view aReason);
  void LearnStart(Duration aElapsed, Instant aNow);
  void Judge(Instant aNow);

  // Coordinator.
  [[nodiscard]] double Rate(Instant aNow) const;
  [[nodiscard]] Duration SwitchWindow(Instant aNow) const;
  /// Determines the shares of the canary phase from all counts.
  void UpdateShares(Instant aNow);
  /// The phase that has to be written now; empty if none.
  [[nodiscard]] std::optional<RolloutPhase> WantedPhase(Instant aNow);
  [[nodiscard]] std::optional<RolloutPhase> AfterUnknown(Instant aNow);
  [[nodiscard]] std::optional<RolloutPhase> AfterCanary(Instant aNow);
  [[nodiscard]] std::optional<RolloutPhase> AfterSwitching(Instant aNow);
  void Coordinate(RolloutOutput* aOutput,
                  UnixMilliseconds aWallTime,
                  Instant aNow);

  // Reports.
  [[nodiscard]] RolloutReport OwnReport(Instant aNow) const;
  void Report(RolloutOutput* aOutput, Instant aNow);

  Setup mSetup;
  Instant mCreated;
  RolloutPhase mPhase = RolloutPhase::Unknown;
  /// Revision of this product's key; 0 if it does not exist.
  StoreRevision mRecordRevision;
  UnixMilliseconds mRecordStart{ 0 };
  bool mIsStopped = false;
  std::vector<NodeName> mServing;
  std::vector<NodeName> mLeaders;
  bool mHasNewTargets = false;
  std::uint64_t mRunningOld = 0;
  RolloutCounts mOwn;
  RolloutTotals mTotals;
  /// Sum over all nodes, as of the last call of Judge.
  RolloutCounts mSum;
  RolloutVerdict mVerdict = RolloutVerdict::NotEnough;
  std::map<std::string, double> mCredits;
  std::map<std::string, std::uint32_t> mShares;
  // Writing.
  std::optional<RolloutPhase> mWriting;
  Instant mRetryAt;
  Duration mRetryDelay{ 0 };
  // Reporting.
  Instant mNextReport;
  bool mMustReport = false;
  bool mMustReportToAll = false;
  std::vector<RolloutNotice> mNotices;
};

} // namespace verbenachute
