#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/SubAnswer.h>
#include <LibCore/TargetState.h>

#include <vector>

namespace verbenachute {

/// What a target said to a sub-query; docs/INTERFACE.md has the status table.
enum class TargetVerdict
{
  /// 200 with hits.
  Answered,
  /// 400: the target takes the sub-query for malformed.
  Malformed,
  /// 408 with "ran": false.
  EndedBeforeRun,
  /// 408 with "ran": true.
  EndedWhileRunning,
  /// 409: the version or the shard is not held.
  VersionNotHeld,
  /// 410: no new work.
  Draining,
  /// 429: all slots are busy.
  Shed,
  /// 500: failed while it ran.
  Failed,
  /// A whole reply that does not parse or has another status.
  Unreadable,
};

/// A whole reply of a target, parsed at the edge.
struct TargetReply
{
  TargetVerdict mVerdict = TargetVerdict::Unreadable;
  /// Version and shard that the hits are from; for Answered only.
  IndexVersion mVersion;
  ShardId mShard;
  std::vector<Hit> mHits;
  /// Versions that the target holds; for VersionNotHeld only.
  std::vector<HeldVersion> mVersions;
};

/// What became of a cancellation.
enum class CancelOutcome
{
  /// The target has stopped the work or has taken it out of its queue.
  Confirmed,
  /// The target does not know the work: it has ended or has not yet come.
  NotFound,
  /// No answer.
  Failed,
};

} // namespace verbenachute
