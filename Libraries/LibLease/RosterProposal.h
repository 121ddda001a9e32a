#pragma once

#include <LibLease/Roster.h>

namespace verbenachute {

/// To be written to the platform's store if its roster is still the expected
/// one. The outcome goes to RosterSteward::OnOutcome.
struct RosterProposal
{
  /// Epoch 0 stands for a region without a roster.
  RosterEpoch mExpected;
  Roster mNext;

  friend bool operator==(const RosterProposal&,
                         const RosterProposal&) = default;
};

/// What became of a proposal.
enum class RosterOutcome
{
  Written,
  /// Another node wrote first; the store's roster is to be read again.
  Conflict,
  /// The store did not answer; the write may have taken effect.
  Unknown,
};

} // namespace verbenachute
