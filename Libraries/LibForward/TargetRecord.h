#pragma once

#include <LibForward/PartReply.h>
#include <LibRouting/ListedTarget.h>

#include <map>

namespace verbenachute {

/// What this node has learnt of one target from its own attempts. It says how
/// soon an answer is to be expected and whether one is.
class TargetRecord
{
public:
  TargetRecord(ListedTarget aListed, Instant aNow);

  [[nodiscard]] const ListedTarget& Listed() const { return mListed; }
  /// Place of its failure domain in the table of the records.
  [[nodiscard]] std::size_t DomainPlace() const { return mDomainPlace; }
  void SetDomainPlace(std::size_t aPlace) { mDomainPlace = aPlace; }
  /// Takes over a changed entry; a new life or address begins without history.
  void Relist(ListedTarget aListed, Instant aNow);

  /// aUsual is the time within which such an attempt mostly ends.
  void OnSent(AttemptId aAttempt, Duration aUsual, Instant aNow);
  /// aTypical is the median of such attempts over all targets.
  void OnReply(AttemptId aAttempt,
               const PartReply& aReply,
               Duration aTypical,
               Instant aNow);
  void OnFailure(AttemptId aAttempt, AttemptFailure aFailure, Instant aNow);
  /// The attempt is given up while it still runs.
  void OnAbandoned(AttemptId aAttempt, Duration aTypical, Instant aNow);

  [[nodiscard]] std::size_t InFlight() const { return mInFlight.size(); }
  /// No attempt is to be sent now: nothing listens there, or its address
  /// belongs to another target.
  [[nodiscard]] bool IsDown(Instant aNow) const;
  /// It has not answered its last attempts; it is asked only where no other
  /// target is left, one attempt at a time.
  [[nodiscard]] bool IsSuspect(Instant aNow) const;
  /// An attempt takes longer than usual and nothing has come back since.
  [[nodiscard]] bool IsStalled(Instant aNow) const;
  [[nodiscard]] bool IsCold(Instant aNow) const { return aNow < mColdUntil; }
  /// The next attempt shows whether the target answers again; others wait for
  /// its result.
  void BeginTrial(Instant aNow);

  /// Expected time to an answer, for choosing between targets.
  [[nodiscard]] Duration ExpectedLatency(Duration aTypical, Instant aNow) const;
  /// Estimated share of attempts that fail, 0 to 1.
  [[nodiscard]] double FailureShare(Instant aNow) const;

  /// Takes one of this node's sends to a cold target; aPerSecond is this
  /// node's share of what the target bears.
  [[nodiscard]] bool TakeColdSend(double aPerSecond, Instant aNow);

private:
  struct InFlightAttempt
  {
    Instant mSent;
    Duration mUsual{ 0 };
  };

  void Forget(Instant aNow);
  void NoteFailure(double aWeight, Instant aNow);
  [[nodiscard]] Duration BackOff() const;
  [[nodiscard]] double Faded(double aValue, double aRest, Instant aNow) const;

  ListedTarget mListed;
  std::size_t mDomainPlace = 0;
  std::map<AttemptId, InFlightAttempt> mInFlight;
  /// Latency as a multiple of the median over all targets.
  double mSlowness = 1;
  double mFailure = 0;
  Instant mLearnt;
  ReportedLoad mLoad;
  Instant mLoadReported;
  std::uint32_t mFailuresInRow = 0;
  Instant mDownUntil;
  Instant mSuspectUntil;
  Instant mColdUntil;
  double mColdTokens = 1;
  Instant mColdRefilled;
};

} // namespace verbenachute
