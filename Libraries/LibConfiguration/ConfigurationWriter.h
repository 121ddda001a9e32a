#pragma once

#include <LibConfiguration/BackoffSchedule.h>
#include <LibConfiguration/PendingCalls.h>
#include <LibConfiguration/WriteTask.h>
#include <LibConfiguration/WriterAction.h>
#include <LibCore/StoreEra.h>

#include <deque>
#include <set>
#include <vector>

namespace verbenachute {

/// The state that a writer starts from: the revision in force on the node.
struct WriterBase
{
  std::shared_ptr<const Configuration> mConfiguration;
  ConfigurationHead mHead;
  ConfigurationParts mParts;
};

/// Writes one change to the store: reads the head, applies the change, writes
/// the parts that are new, and compare-and-swaps the head. It survives a store
/// that is slow, down, or loses replies, and races with other writers:
/// - An operation that the head already lists is not applied again.
/// - After a swap without a reply the head is read again. If the key is still
///   at the expected revision the same swap is repeated, as only one of the two
///   can take effect.
/// - After a lost race the writer starts again from the winner's configuration,
///   so that no change of either operator is lost.
class ConfigurationWriter
{
public:
  using Actions = std::vector<WriterAction>;

  /// Time after which the outcome is reported in any case.
  static constexpr Duration kDeadline = seconds(8);
  /// Number of lost races after which the writer gives up.
  static constexpr std::uint32_t kRaces = 16;
  /// Revisions for which a part that is no longer used stays in the store.
  static constexpr std::uint64_t kRetiredRevisions = 16;

  /// aSequence must differ between the writers of one incarnation of a node.
  ConfigurationWriter(const NodeIdentity& aSelf,
                      std::uint64_t aSequence,
                      WriteTask aTask,
                      WriterBase aBase);

  [[nodiscard]] Actions Start(Instant aNow);
  /// Performs what is due; to be called at NextWake at the latest.
  [[nodiscard]] Actions OnTick(Instant aNow);
  [[nodiscard]] Instant NextWake() const;

  /// The era of the store in which the head was read; to be called before
  /// OnHead. After a rise the parts that were written before may be lost.
  void OnEra(StoreEra aEra);
  [[nodiscard]] Actions OnHead(CallId aCall,
                               const std::string& aText,
                               std::uint64_t aKeyRevision,
                               Instant aNow);
  [[nodiscard]] Actions OnNoHead(CallId aCall, Instant aNow);
  [[nodiscard]] Actions OnPart(CallId aCall,
                               std::shared_ptr<const std::string> aText,
                               Instant aNow);
  [[nodiscard]] Actions OnPartWritten(CallId aCall, Instant aNow);
  [[nodiscard]] Actions OnPartDeleted(CallId aCall, Instant aNow);
  [[nodiscard]] Actions OnSwapped(CallId aCall, Instant aNow);
  [[nodiscard]] Actions OnSwapConflict(CallId aCall, Instant aNow);
  /// A call failed; aExecution states whether a write may have taken effect.
  [[nodiscard]] Actions OnFailure(CallId aCall,
                                  Execution aExecution,
                                  Instant aNow);

  [[nodiscard]] bool IsFinished() const { return mState == State::Finished; }

private:
  enum class State
  {
    /// Waits for mDue and then reads the head.
    Waiting,
    ReadingHead,
    ReadingParts,
    /// Writes new parts and deletes parts that were retired long ago.
    WritingParts,
    SwappingHead,
    Finished,
  };

  enum class CallKind
  {
    Head,
    ReadPart,
    WritePart,
    DeletePart,
    Swap,
  };

  struct Call
  {
    CallKind mKind = CallKind::Head;
    PartName mPart;
    Instant mDeadline;
  };

  [[nodiscard]] CallId Remember(CallKind aKind,
                                const PartName& aPart,
                                Instant aNow);
  void AskHead(Instant aNow, Actions* aActions);
  void HandleFailure(const Call& aCall,
                     Execution aExecution,
                     Instant aNow,
                     Actions* aActions);
  void Retry(Instant aNow);
  void ContinueReading(Instant aNow, Actions* aActions);
  void BaseRead(Instant aNow, Actions* aActions);
  void MakeNext(Instant aNow, Actions* aActions);
  /// Writes the parts of the head that this writer has swapped in again.
  void RepairParts(Instant aNow, Actions* aActions);
  void PlanParts(Instant aNow, Actions* aActions);
  void ContinueParts(Instant aNow, Actions* aActions);
  void Swap(Instant aNow, Actions* aActions);
  void Finish(Result<WriteOutcome> aOutcome, Actions* aActions);
  void FinishFailed(Error aError, Actions* aActions);
  void DeleteUnused(const ConfigurationHead& aHead, Actions* aActions);

  WriteTask mTask;
  std::string mTag;
  BackoffSchedule mBackoff;
  State mState = State::Waiting;
  Instant mDeadline;
  Instant mDue;
  PendingCalls<Call> mCalls;
  std::uint32_t mRacesLost = 0;
  /// The error that is reported if the deadline passes now.
  Error mLastFault;

  /// The configuration that is in the store, as far as it has been read; null
  /// if the store has none.
  WriterBase mBase;
  Revision mOldest;
  ConfigurationHead mReadHead;
  std::uint64_t mKeyRevision = 0;

  ChangeOutcome mNext;
  EncodedConfiguration mEncoded;
  /// Parts that are still to be read, written or deleted in this state.
  std::deque<PartName> mToRead;
  std::deque<PartName> mToWrite;
  std::deque<PartName> mToDelete;
  /// Parts of which a write was sent, and those of them that are stored.
  std::set<PartName> mWritten;
  std::set<PartName> mStored;
  std::optional<StoreEra> mEra;
  bool mMayLackParts = false;
  /// Revision of the key that a swap without a known outcome expects.
  std::optional<std::uint64_t> mOpenSwap;
  Instant mSwapSent;
};

} // namespace verbenachute
