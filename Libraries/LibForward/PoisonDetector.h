#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace verbenachute {

/// A target whose connection broke under a request that lost every connection
/// on which it ran. Nodes report this to each other.
struct PoisonObservation
{
  Fingerprint mFingerprint;
  TargetName mTarget;
  /// When the target's process had started: a target that crashed and came back
  /// under its name is another one.
  UnixMilliseconds mTargetStart{ 0 };

  friend bool operator<(const PoisonObservation& aOne,
                        const PoisonObservation& aOther)
  {
    return std::tie(aOne.mFingerprint, aOne.mTarget, aOne.mTargetStart) <
           std::tie(aOther.mFingerprint, aOther.mTarget, aOther.mTargetStart);
  }
  friend bool operator==(const PoisonObservation&,
                         const PoisonObservation&) = default;
};

/// A request that has crashed so many targets that no node runs it. Nodes tell
/// each other until it expires, so that one that starts late knows it too.
struct PoisonConviction
{
  Fingerprint mFingerprint;
  /// Time since the last target was lost.
  Duration mAge{ 0 };

  friend bool operator==(const PoisonConviction&,
                         const PoisonConviction&) = default;
};

/// What an observation changed at this node.
enum class PoisonChange
{
  /// The observation was known.
  None,
  /// One more target counts against the request.
  TargetAdded,
  /// The request is poisonous from now on.
  Convicted,
};

/// An observation that changed what this node knows, for the log. The target is
/// empty if a peer reported a conviction.
struct PoisonNotice
{
  enum class Source
  {
    OwnAttempt,
    Peer,
  };

  PoisonObservation mObservation;
  PoisonChange mChange = PoisonChange::None;
  Source mSource = Source::OwnAttempt;
};

/// Detects requests that crash each target that runs them. A request is
/// poisonous if it has lost the connection to several different targets and was
/// not answered in between. The number of entries is limited; the oldest are
/// evicted first, poisonous ones only if they take more than half of the table.
class PoisonDetector
{
public:
  /// Number of different targets lost, without an answer in between, that makes
  /// a request poisonous.
  static constexpr std::size_t kPoisonThreshold = 3;

  /// This or another node reports a connection lost under a request.
  PoisonChange OnPoisonObservation(const PoisonObservation& aObservation,
                                   Instant aNow);
  /// Another node has convicted a request. Returns whether this was new.
  PoisonChange OnConviction(const PoisonConviction& aConviction, Instant aNow);
  /// The convictions that have not expired, in no particular order.
  [[nodiscard]] std::vector<PoisonConviction> Convictions(Instant aNow) const;
  /// A target answered the request, so it is harmless.
  void OnAnswered(Fingerprint aFingerprint);
  [[nodiscard]] bool IsPoisonous(Fingerprint aFingerprint, Instant aNow);

private:
  struct Entry
  {
    std::set<PoisonObservation> mObservations;
    Instant mLastObservation;
    bool mIsConvicted = false;
  };

  void EvictOldEntries(Instant aNow);

  std::map<Fingerprint, Entry> mEntries;
};

} // namespace verbenachute
