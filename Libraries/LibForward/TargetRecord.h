#pragma once

#include <LibForward/PartReply.h>
#include <LibForward/RestartDoubt.h>
#include <LibForward/TargetGate.h>
#include <LibRouting/ListedTarget.h>

#include <map>

namespace verbenachute {

/// Statistics and health of one target, learned from this node's own attempts.
/// Estimates how soon the target will answer and whether it will.
class TargetRecord
{
public:
  TargetRecord(ListedTarget aListed, Instant aNow);

  [[nodiscard]] const ListedTarget& Listed() const { return mListed; }
  /// Index of its failure domain in the table of TargetRecords.
  [[nodiscard]] std::size_t DomainIndex() const { return mDomainIndex; }
  void SetDomainIndex(std::size_t aIndex) { mDomainIndex = aIndex; }
  /// Applies a changed entry. The history is reset if the target has restarted
  /// or has another address or service.
  void Update(ListedTarget aListed, Instant aNow);

  /// aTailLatency is the time within which most such attempts end.
  void OnSent(AttemptId aAttempt, Duration aTailLatency, Instant aNow);
  /// aMedianLatency is the median latency of such attempts over all targets.
  void OnReply(AttemptId aAttempt,
               const PartReply& aReply,
               Duration aMedianLatency,
               Instant aNow);
  void OnFailure(AttemptId aAttempt, AttemptFailure aFailure, Instant aNow);
  /// A peer in the target's failure domain did not ask it, because targets
  /// elsewhere would answer sooner.
  void OnDeclinedByPeer(Instant aNow);
  /// The attempt is abandoned while it still runs.
  void OnAbandoned(AttemptId aAttempt, Duration aMedianLatency, Instant aNow);

  /// The load that the target reported last, and when; no load before the first
  /// report.
  [[nodiscard]] const ReportedLoad& Load() const { return mLoad; }
  [[nodiscard]] Instant LoadReported() const { return mLoadReported; }
  /// Number of attempts in flight that were sent after the last load report.
  [[nodiscard]] std::size_t SentSinceReport() const;
  [[nodiscard]] std::size_t InFlight() const { return mInFlight.size(); }
  /// No attempt may be sent now: nothing listens at the address, or it belongs
  /// to another target.
  [[nodiscard]] bool IsDown(Instant aNow) const;
  /// The target has not answered its last attempts. It is used only if no other
  /// target is left, one attempt at a time.
  [[nodiscard]] bool IsSuspect(Instant aNow) const;
  /// An attempt is taking longer than usual and has not been answered.
  [[nodiscard]] bool IsStalled(Instant aNow) const;
  [[nodiscard]] bool IsCold(Instant aNow) const { return aNow < mColdUntil; }
  /// Whether the target may have restarted without this node's knowledge.
  [[nodiscard]] const RestartDoubt& Doubt() const { return mDoubt; }
  /// All changes of the list up to aAsOf have been applied.
  void OnListKnown(Instant aAsOf) { mDoubt.OnListKnown(aAsOf); }
  [[nodiscard]] const TargetGate& Gate() const { return mGate; }
  [[nodiscard]] TargetGate& Gate() { return mGate; }
  /// The next attempt probes whether the target answers again; further attempts
  /// wait for its result.
  void BeginProbe(Instant aNow);

  /// Expected latency of an answer, to choose between targets. aMedianLatency
  /// is the median over all targets.
  [[nodiscard]] Duration ExpectedLatency(Duration aMedianLatency,
                                         Instant aNow) const;
  /// Estimated share of attempts that fail, from 0 to 1.
  [[nodiscard]] double FailureRate(Instant aNow) const;

private:
  struct InFlightAttempt
  {
    Instant mSent;
    Duration mTailLatency{ 0 };
    /// mIncarnationCount when it was sent.
    std::uint64_t mIncarnationCount = 0;
  };

  void ResetHistory(Instant aNow);
  /// Applies what the target says of the requests that it wants.
  void ApplyWishes(const PartReply& aReply, Instant aNow);
  void RecordFailure(double aWeight, Instant aNow);
  /// Suspects the target if it has left too many attempts without an answer.
  void SuspectIfUnresponsive(Instant aNow);
  [[nodiscard]] Duration BackOff() const;
  [[nodiscard]] double Decayed(double aValue,
                               double aNeutral,
                               Instant aNow) const;

  ListedTarget mListed;
  std::size_t mDomainIndex = 0;
  std::map<AttemptId, InFlightAttempt> mInFlight;
  /// Latency as a multiple of the median latency over all targets.
  double mLatencyRatio = 1;
  double mFailureRate = 0;
  Instant mLastSample;
  ReportedLoad mLoad;
  Instant mLoadReported;
  std::uint32_t mConsecutiveFailures = 0;
  Instant mDownUntil;
  Instant mSuspectUntil;
  Instant mDeclinedUntil;
  Instant mColdUntil;
  TargetGate mGate;
  RestartDoubt mDoubt;
  /// Restarts, and changes of the address or the service, of which this node
  /// has learned.
  std::uint64_t mIncarnationCount = 0;
};

} // namespace verbenachute
