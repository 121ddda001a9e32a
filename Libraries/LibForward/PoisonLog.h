#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <map>
#include <set>
#include <vector>

namespace verbenachute {

/// A request lost every connection on which it ran: what one node tells the
/// others.
struct PoisonStrike
{
  Fingerprint mFingerprint;
  TargetName mTarget;

  friend bool operator==(const PoisonStrike&, const PoisonStrike&) = default;
};

/// Finds requests that crash each target that runs them. A request is
/// poisonous when it has lost the connection at several different targets and
/// was never answered in between. Bounded: the oldest entries go first.
class PoisonLog
{
public:
  /// Targets lost in a row that convict a request.
  static constexpr std::size_t kStrikes = 3;

  /// This or another node saw a strike.
  void OnStrike(const PoisonStrike& aStrike, Instant aNow);
  /// A target answered such a request, so it is harmless.
  void OnAnswered(Fingerprint aFingerprint);
  [[nodiscard]] bool IsPoisonous(Fingerprint aFingerprint, Instant aNow);

private:
  struct Entry
  {
    std::set<TargetName> mTargets;
    Instant mLast;
  };

  void Expire(Instant aNow);

  std::map<Fingerprint, Entry> mEntries;
};

} // namespace verbenachute
