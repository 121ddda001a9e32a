#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

namespace verbenachute {

/// Decides when a node reads the roster of its region from the store: at a
/// steady pace, and at once when another node tells of a later epoch. Voters
/// refuse requests under an earlier epoch, so a holder that waited for its
/// next read would lose its leases meanwhile.
class RosterReadSchedule
{
public:
  /// A read starts now; the next one is due after the interval.
  void OnReadStarted(Instant aNow);
  /// The store gave the roster of this epoch.
  void OnRead(RosterEpoch aEpoch);
  /// The read failed; a later epoch that was told makes one due again.
  void OnReadFailed();
  /// Another node told the epoch that it knows.
  void OnToldEpoch(RosterEpoch aEpoch);

  /// When the next read is due.
  [[nodiscard]] Instant NextRead() const;

private:
  enum class Progress
  {
    Idle,
    Reading,
  };

  Progress mProgress = Progress::Idle;
  Instant mStarted;
  RosterEpoch mRead;
  RosterEpoch mTold;
};

} // namespace verbenachute
