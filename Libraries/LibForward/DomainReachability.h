#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibForward/ShardCover.h>

#include <array>
#include <set>

namespace verbenachute {

/// Detects that a failure domain cannot be reached from this node, sooner than
/// each of its targets would be found unresponsive on its own: several of its
/// targets do not answer and none does. Domains are given by their index in the
/// table of targets (TargetRecords::DomainIndex); indexes beyond the table are
/// ignored.
class DomainReachability
{
public:
  /// A target of the domain has answered, directly or through a peer.
  void OnResponse(std::size_t aDomainIndex);
  /// A target has not answered within the usual time, or its connection broke.
  void OnNoResponse(std::size_t aDomainIndex,
                    const TargetName& aTarget,
                    Instant aNow);

  /// The domain is suspected to be unreachable; targets elsewhere are
  /// preferred.
  [[nodiscard]] bool IsSuspected(std::size_t aDomainIndex, Instant aNow) const;
  /// The domain counts as unreachable; no answer is expected from its targets.
  [[nodiscard]] bool IsUnreachable(std::size_t aDomainIndex,
                                   Instant aNow) const;
  /// Whether an attempt may probe if a suspected domain is reachable again.
  [[nodiscard]] bool IsProbeDue(std::size_t aDomainIndex, Instant aNow) const;
  void BeginProbe(std::size_t aDomainIndex, Instant aNow);

  /// Targets that must be unresponsive at the same time. Pauses of single
  /// targets do not coincide.
  static constexpr std::size_t kMinUnresponsiveTargets = 4;
  /// Longer than a pause of a target, as stated by the targets' owners.
  static constexpr Duration kSuspectedAfter = milliseconds(150);
  /// From then on callers are refused immediately instead of being made to
  /// wait.
  static constexpr Duration kUnreachableAfter = milliseconds(800);
  static constexpr Duration kProbeInterval = milliseconds(200);

private:
  struct State
  {
    /// Targets that have been unresponsive since the domain's last answer.
    std::set<TargetName> mUnresponsive;
    Instant mUnresponsiveSince;
    Instant mNextProbe;
  };

  [[nodiscard]] bool IsUnresponsiveFor(std::size_t aDomainIndex,
                                       Duration aDuration,
                                       Instant aNow) const;

  std::array<State, kMaximumDomains> mDomains;
};

} // namespace verbenachute
