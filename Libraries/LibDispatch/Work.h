#pragma once

#include <LibCore/SubQuery.h>
#include <LibCore/Time.h>
#include <LibDispatch/DispatchId.h>

namespace verbenachute {

/// Where a sub-query stands on its way through the gate.
enum class WorkPhase
{
  /// Waits for a slot; nothing of it has been sent.
  Queued,
  /// Sent, and its node waits for the answer.
  Running,
  /// Sent and answered, but the target may still work on it.
  Abandoned,
};

/// Whether the connection of an exchange still counts at the target.
enum class Connection
{
  None,
  Open,
  Closed,
};

/// Whether the target may still be at work.
enum class Slot
{
  Free,
  Occupied,
};

enum class Cancellation
{
  NotAsked,
  Asked,
};

/// Whether the sub-query runs alone because its fingerprint is suspected.
enum class Trial
{
  No,
  Yes,
};

/// One sub-query at its gate.
struct Work
{
  DispatchId mId;
  NodeIdentity mOrigin;
  SubQuery mSubQuery;
  Instant mArrival;
  /// When the node that sent it gives up.
  Instant mDeadline;
  WorkPhase mPhase = WorkPhase::Queued;
  Instant mSent;
  /// When the target must have ended, by its own deadline.
  Instant mRunUntil;
  Connection mConnection = Connection::None;
  Slot mSlot = Slot::Free;
  Cancellation mCancellation = Cancellation::NotAsked;
  Trial mTrial = Trial::No;
};

} // namespace verbenachute
