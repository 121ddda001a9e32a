#pragma once

#include <LibConfiguration/AskTable.h>
#include <LibConfiguration/BackoffSchedule.h>
#include <LibConfiguration/WriteTask.h>
#include <LibConfiguration/WriterAction.h>

#include <deque>
#include <set>
#include <vector>

namespace verbenachute {

/// What a writer starts from: whatever the node has in force.
struct WriterBase
{
  std::shared_ptr<const Configuration> mConfiguration;
  ConfigurationHead mHead;
  ConfigurationParts mParts;
};

/// Writes one change to the store: reads the head, applies the change, writes
/// the parts that are new, and compare-and-swaps the head. It survives a store
/// that is slow, down, or loses replies, and races with other writers:
/// - An operation that the head already tells of is not applied again.
/// - A swap without a reply is settled by reading the head again. If the key
///   is still at the expected revision the same swap is sent again, as only
///   one of the two can take effect.
/// - A lost race begins anew from the winner's configuration, so no change of
///   either operator is lost.
class ConfigurationWriter
{
public:
  using Actions = std::vector<WriterAction>;

  /// Time after which the outcome is told, whatever it is.
  static constexpr Duration kDeadline = seconds(8);
  /// Races that may be lost before the writer gives up.
  static constexpr std::uint32_t kRaces = 16;
  /// Revisions for which a part that is no longer used stays in the store.
  static constexpr std::uint64_t kRetiredRevisions = 16;

  /// aSequence must differ between the writers of one life of a node.
  ConfigurationWriter(const NodeIdentity& aSelf,
                      std::uint64_t aSequence,
                      WriteTask aTask,
                      WriterBase aBase);

  [[nodiscard]] Actions Start(Instant aNow);
  /// Carries out what has become due; call by NextWake at the latest.
  [[nodiscard]] Actions OnTick(Instant aNow);
  [[nodiscard]] Instant NextWake() const;

  [[nodiscard]] Actions OnHead(AskId aAsk,
                               const std::string& aText,
                               std::uint64_t aKeyRevision,
                               Instant aNow);
  [[nodiscard]] Actions OnNoHead(AskId aAsk, Instant aNow);
  [[nodiscard]] Actions OnPart(AskId aAsk,
                               std::shared_ptr<const std::string> aText,
                               Instant aNow);
  [[nodiscard]] Actions OnPartWritten(AskId aAsk, Instant aNow);
  [[nodiscard]] Actions OnPartDeleted(AskId aAsk, Instant aNow);
  [[nodiscard]] Actions OnSwapped(AskId aAsk, Instant aNow);
  [[nodiscard]] Actions OnSwapConflict(AskId aAsk, Instant aNow);
  /// A call failed; aExecution tells whether a write may have taken effect.
  [[nodiscard]] Actions OnFailure(AskId aAsk,
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

  enum class AskKind
  {
    Head,
    ReadPart,
    WritePart,
    DeletePart,
    Swap,
  };

  struct Ask
  {
    AskKind mKind = AskKind::Head;
    PartName mPart;
    Instant mGivenUp;
  };

  [[nodiscard]] AskId Remember(AskKind aKind,
                               const PartName& aPart,
                               Instant aNow);
  void AskHead(Instant aNow, Actions* aActions);
  void HandleFailure(const Ask& aAsk,
                     Execution aExecution,
                     Instant aNow,
                     Actions* aActions);
  void Retry(Instant aNow);
  void ContinueReading(Instant aNow, Actions* aActions);
  void BaseRead(Instant aNow, Actions* aActions);
  void MakeNext(Instant aNow, Actions* aActions);
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
  AskTable<Ask> mAsks;
  std::uint32_t mRacesLost = 0;
  /// The error that is told if the time runs out now.
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
  /// Revision of the key that a swap without a known outcome expects.
  std::optional<std::uint64_t> mOpenSwap;
  Instant mSwapSent;
};

} // namespace verbenachute
