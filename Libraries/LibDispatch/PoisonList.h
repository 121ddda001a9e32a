#pragma once

#include <LibDispatch/DispatchSettings.h>
#include <LibDispatch/PoisonReport.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace verbenachute {

/// What a fingerprint may do now.
enum class PoisonStanding
{
  Clear,
  /// It may run alone at a target, to find out whether it crashes it.
  MayBeTried,
  Refused,
};

/// The fingerprints that are suspected or convicted of crashing targets, as
/// far as this node knows. Lists of several nodes converge whatever the order
/// and number of their reports.
class PoisonList
{
public:
  PoisonList(NodeIdentity aSelf, const DispatchSettings& aSettings);

  /// A target crashed while it ran these, none of them on trial. Gives the
  /// reports that are to be spread.
  std::vector<PoisonReport> OnCrash(const TargetName& aTarget,
                                    const std::set<Fingerprint>& aRunning,
                                    Instant aNow);
  void OnTrialStarted(Fingerprint aFingerprint);
  std::optional<PoisonReport> OnTrialCompleted(Fingerprint aFingerprint,
                                               Instant aNow);
  std::optional<PoisonReport> OnTrialCrashed(Fingerprint aFingerprint,
                                             const TargetName& aTarget,
                                             Instant aNow);
  /// A sub-query of this node's targets was refused. Takes over a trial that
  /// its trier does not undertake, as when it holds no target of the query any
  /// more; gives the report that is to be spread.
  std::optional<PoisonReport> OnRefused(Fingerprint aFingerprint, Instant aNow);
  /// The trial ended and showed neither.
  void OnTrialWithoutResult(Fingerprint aFingerprint);
  void OnReport(const PoisonReport& aReport, Instant aNow);

  [[nodiscard]] PoisonStanding StandingOf(Fingerprint aFingerprint,
                                          Instant aNow) const;
  /// Everything that is known, for a node that has just joined.
  [[nodiscard]] std::vector<PoisonReport> Reports(Instant aNow);
  [[nodiscard]] std::size_t size() const { return mEntries.size(); }

private:
  enum class Progress
  {
    Idle,
    OnTrial,
  };
  struct Entry
  {
    std::uint64_t mEpisode = 0;
    PoisonVerdict mVerdict = PoisonVerdict::Suspected;
    NodeIdentity mTrier;
    /// When this node learnt of the verdict.
    Instant mSince;
    Instant mExpiry;
    Progress mProgress = Progress::Idle;
    /// Targets that crashed under the fingerprint here.
    std::set<TargetName> mCrashed;
  };

  void Expire(Instant aNow);
  void Refresh(Entry& aEntry, Instant aNow) const;
  void MakeRoom();
  [[nodiscard]] PoisonReport ReportOf(Fingerprint aFingerprint,
                                      const Entry& aEntry,
                                      Instant aNow) const;
  [[nodiscard]] static bool Overrides(const PoisonReport& aReport,
                                      const Entry& aEntry);

  NodeIdentity mSelf;
  DispatchSettings mSettings;
  std::map<Fingerprint, Entry> mEntries;
};

} // namespace verbenachute
