#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace verbenachute {

/// How this node lost touch with a target.
enum class ContactLoss
{
  /// A connection was lost while a request ran on it.
  ConnectionLost,
  /// Several requests in a row were not answered.
  Unresponsive,
  /// No connection could be made.
  NotReached,
};

/// Whether the process of a target may be another one than the list names. A
/// target that was out of reach may come back as a new and cold process under
/// its name and address, and may do so before its new entry is known here. It
/// does no I/O.
class RestartDoubt
{
public:
  void OnLoss(ContactLoss aLoss, Instant aNow);
  /// The target has answered a request that was sent at aSent.
  void OnAnswered(Instant aSent, Instant aNow);
  /// All changes of the list up to aAsOf are known, and none names another
  /// process.
  void OnListKnown(Instant aAsOf);

  [[nodiscard]] bool Exists() const { return mState != State::None; }
  /// Nothing has been heard since contact was lost. One request at a time tests
  /// whether the target is back.
  [[nodiscard]] bool IsUntested() const { return mState == State::Lost; }
  /// Whether the target may have started less than aWarmup ago.
  [[nodiscard]] bool MayBeCold(Duration aWarmup, Instant aNow) const;
  /// When contact was lost last or, if the target has answered since, regained.
  [[nodiscard]] Instant Since() const { return mSince; }
  /// The time as of which the list has to be known to end the doubt, or to test
  /// the target again; empty if the list cannot contribute anything.
  [[nodiscard]] std::optional<Instant> ListNeededAsOf() const;

private:
  enum class State
  {
    None,
    Lost,
    Regained,
  };

  State mState = State::None;
  ContactLoss mLoss = ContactLoss::ConnectionLost;
  Instant mSince;
  /// The last answer of the process that the list names.
  Instant mLastAnswer;
  /// The list is known as of a time after the loss.
  bool mIsListKnown = false;
};

} // namespace verbenachute
