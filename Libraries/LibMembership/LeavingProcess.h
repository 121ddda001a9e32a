#pragma once

#include <LibCore/Time.h>
#include <LibMembership/LeavingReport.h>

#include <vector>

namespace verbenachute {

/// What the daemon does next in a graceful shutdown.
enum class LeavingAction
{
  /// Set the own phase in MemberTable::Self to Leaving and answer health
  /// checks with 503. The node goes on serving.
  AnnounceLeaving,
  /// Take no new query and call OnceTable::RefuseNew. What is refused from
  /// now on is told "not run" only where the OnceTable allows it.
  RefuseNewWork,
  /// Stop dispatching, finish at the targets and release the leases.
  HandOverBuckets,
  /// Log the report and end the process with ExitStatusOf.
  Exit,
};

/// The graceful shutdown of a node.
///
/// A node may only stop serving once no caller holds its address. Each peer
/// confirms that it names the node no more; a peer that is cut off or frozen
/// names it at most MemberTable::LongestOffer after the announcement, since
/// it needs a proof of life that is younger. From then on the last answers
/// run out.
class LeavingProcess
{
public:
  struct Settings
  {
    /// MemberTable::LongestOffer.
    Duration mLongestOffer = milliseconds(2500);
    /// AddressAnswerer::Validity.
    Duration mAddressValidity = seconds(5);
    /// Time for the first request of a caller whose answer runs out.
    Duration mMargin = milliseconds(500);
    Duration mHandOverLimit = seconds(20);
    /// Exceeds the longest deadline of a query.
    Duration mDrainLimit = seconds(30);
  };

  explicit LeavingProcess(Settings aSettings);

  /// A request to end, such as SIGTERM. The second one gives up what is left.
  [[nodiscard]] std::vector<LeavingAction> OnSignal(const LeavingFacts& aFacts,
                                                    Instant aNow);
  /// Called often, such as every 100 ms, and when work has ended.
  [[nodiscard]] std::vector<LeavingAction> Step(const LeavingFacts& aFacts,
                                                Instant aNow);

  [[nodiscard]] LeavingPhase Phase() const { return mPhase; }
  /// How the shutdown ended; meaningful in the phase Finished.
  [[nodiscard]] const LeavingReport& Report() const { return mReport; }

private:
  void Enter(LeavingPhase aPhase, Instant aNow);
  void GiveUp(LeavingEnding aEnding, const LeavingFacts& aFacts);
  /// Whether the present phase is over, or its limit has passed.
  bool IsOver(const LeavingFacts& aFacts, Instant aNow);
  /// Whether the limit of the present phase has passed; if so, gives up.
  bool IsLate(Duration aLimit, const LeavingFacts& aFacts, Instant aNow);
  std::vector<LeavingAction> EnterNext(Instant aNow);

  Settings mSettings;
  LeavingPhase mPhase = LeavingPhase::Serving;
  Instant mEnteredAt;
  LeavingReport mReport;
};

} // namespace verbenachute
