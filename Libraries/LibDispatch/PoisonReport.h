#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>

namespace verbenachute {

/// What is thought of a fingerprint; a later one overrides an earlier one of
/// the same episode.
enum class PoisonVerdict
{
  /// A target crashed while it ran this among others.
  Suspected,
  /// It has since completed alone.
  Cleared,
  /// It has crashed a target again while it ran alone.
  Convicted,
};

/// Tells other nodes about a fingerprint.
struct PoisonReport
{
  Fingerprint mFingerprint;
  /// Grows with each new suspicion against the same fingerprint.
  std::uint64_t mEpisode = 0;
  PoisonVerdict mVerdict = PoisonVerdict::Suspected;
  /// The only node that may try the fingerprint while it is suspected.
  NodeIdentity mTrier;
  /// How long the report holds from the moment of sending.
  Duration mTimeLeft{ 0 };

  friend bool operator==(const PoisonReport&, const PoisonReport&) = default;
};

} // namespace verbenachute
