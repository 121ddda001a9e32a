#include <LibDispatch/PoisonList.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

PoisonList::PoisonList(NodeIdentity aSelf, const DispatchSettings& aSettings)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
{
}

std::vector<PoisonReport>
PoisonList::OnCrash(const TargetName& aTarget,
                    const std::set<Fingerprint>& aRunning,
                    Instant aNow)
{
  Expire(aNow);
  std::vector<PoisonReport> reports;
  for (const Fingerprint fingerprint : aRunning) {
    const auto known = mEntries.find(fingerprint);
    const bool isOpen = known != mEntries.end() &&
                        known->second.mVerdict != PoisonVerdict::Cleared;
    // A crash outside of a trial adds nothing to what is under way.
    if (isOpen) {
      known->second.mCrashed.insert(aTarget);
      continue;
    }
    Entry entry;
    entry.mEpisode = known == mEntries.end() ? 1 : known->second.mEpisode + 1;
    entry.mTrier = mSelf;
    entry.mSince = aNow;
    entry.mExpiry = aNow + mSettings.mSuspicion;
    entry.mCrashed.insert(aTarget);
    mEntries.insert_or_assign(fingerprint, entry);
    reports.push_back(ReportOf(fingerprint, entry, aNow));
  }
  MakeRoom();
  return reports;
}

void
PoisonList::OnTrialStarted(Fingerprint aFingerprint)
{
  Entry& entry = mEntries.at(aFingerprint);
  VERIFY(entry.mVerdict == PoisonVerdict::Suspected);
  VERIFY(entry.mTrier == mSelf);
  VERIFY(entry.mProgress == Progress::Idle);
  entry.mProgress = Progress::OnTrial;
}

std::optional<PoisonReport>
PoisonList::OnTrialCompleted(Fingerprint aFingerprint, Instant aNow)
{
  Expire(aNow);
  const auto entry = mEntries.find(aFingerprint);
  if (entry == mEntries.end() ||
      entry->second.mVerdict != PoisonVerdict::Suspected) {
    return std::nullopt;
  }
  entry->second.mVerdict = PoisonVerdict::Cleared;
  entry->second.mProgress = Progress::Idle;
  entry->second.mExpiry = aNow + mSettings.mSuspicion;
  return ReportOf(aFingerprint, entry->second, aNow);
}

std::optional<PoisonReport>
PoisonList::OnTrialCrashed(Fingerprint aFingerprint,
                           const TargetName& aTarget,
                           Instant aNow)
{
  Expire(aNow);
  const auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end() ||
      found->second.mVerdict == PoisonVerdict::Convicted) {
    return std::nullopt;
  }
  Entry& entry = found->second;
  entry.mVerdict = PoisonVerdict::Convicted;
  entry.mProgress = Progress::Idle;
  entry.mSince = aNow;
  entry.mExpiry = aNow + mSettings.mConviction;
  entry.mCrashed.insert(aTarget);
  return ReportOf(aFingerprint, entry, aNow);
}

std::optional<PoisonReport>
PoisonList::OnRefused(Fingerprint aFingerprint, Instant aNow)
{
  Expire(aNow);
  const auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end()) {
    return std::nullopt;
  }
  Entry& entry = found->second;
  const Instant due =
    entry.mSince + mSettings.mTrialDelay + mSettings.mTrialPatience;
  if (entry.mVerdict != PoisonVerdict::Suspected || entry.mTrier == mSelf ||
      aNow < due) {
    return std::nullopt;
  }
  // The higher episode takes the trial from the node that had it.
  ++entry.mEpisode;
  entry.mTrier = mSelf;
  entry.mSince = aNow;
  entry.mExpiry = aNow + mSettings.mSuspicion;
  return ReportOf(aFingerprint, entry, aNow);
}

void
PoisonList::OnTrialWithoutResult(Fingerprint aFingerprint)
{
  const auto entry = mEntries.find(aFingerprint);
  if (entry != mEntries.end()) {
    entry->second.mProgress = Progress::Idle;
  }
}

void
PoisonList::OnReport(const PoisonReport& aReport, Instant aNow)
{
  Expire(aNow);
  const Duration longest =
    std::max(mSettings.mConviction, mSettings.mSuspicion);
  const Instant expiry = aNow + std::min(aReport.mTimeLeft, longest);
  const auto known = mEntries.find(aReport.mFingerprint);
  if (known == mEntries.end() || Overrides(aReport, known->second)) {
    Entry entry;
    entry.mEpisode = aReport.mEpisode;
    entry.mVerdict = aReport.mVerdict;
    entry.mTrier = aReport.mTrier;
    entry.mSince = aNow;
    entry.mExpiry = expiry;
    mEntries.insert_or_assign(aReport.mFingerprint, entry);
    MakeRoom();
    return;
  }
  Entry& entry = known->second;
  if (entry.mEpisode == aReport.mEpisode &&
      entry.mVerdict == aReport.mVerdict) {
    // Nodes that suspected it at the same time agree on one of them.
    entry.mTrier = std::min(entry.mTrier, aReport.mTrier);
    entry.mExpiry = std::max(entry.mExpiry, expiry);
  }
}

PoisonStanding
PoisonList::StandingOf(Fingerprint aFingerprint, Instant aNow) const
{
  const auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end()) {
    return PoisonStanding::Clear;
  }
  Entry entry = found->second;
  Refresh(entry, aNow);
  if (entry.mVerdict == PoisonVerdict::Cleared || entry.mExpiry <= aNow) {
    return PoisonStanding::Clear;
  }
  const bool mayTry = entry.mVerdict == PoisonVerdict::Suspected &&
                      entry.mTrier == mSelf &&
                      entry.mProgress == Progress::Idle &&
                      aNow >= entry.mSince + mSettings.mTrialDelay;
  return mayTry ? PoisonStanding::MayBeTried : PoisonStanding::Refused;
}

std::vector<PoisonReport>
PoisonList::Reports(Instant aNow)
{
  Expire(aNow);
  std::vector<PoisonReport> reports;
  for (const auto& [fingerprint, entry] : mEntries) {
    reports.push_back(ReportOf(fingerprint, entry, aNow));
  }
  return reports;
}

void
PoisonList::Expire(Instant aNow)
{
  for (auto& [fingerprint, entry] : mEntries) {
    Refresh(entry, aNow);
  }
  std::erase_if(mEntries, [aNow](const auto& aEntry) {
    return aEntry.second.mExpiry <= aNow &&
           aEntry.second.mProgress == Progress::Idle;
  });
}

void
PoisonList::Refresh(Entry& aEntry, Instant aNow) const
{
  if (aEntry.mVerdict != PoisonVerdict::Convicted || aNow < aEntry.mExpiry) {
    return;
  }
  // A conviction ends in a suspicion, the same at each node, so that the next
  // run of the fingerprint costs one target at most.
  aEntry.mVerdict = PoisonVerdict::Suspected;
  ++aEntry.mEpisode;
  aEntry.mSince = aEntry.mExpiry;
  aEntry.mExpiry += mSettings.mConviction;
}

void
PoisonList::MakeRoom()
{
  while (mEntries.size() > mSettings.mPoisonLimit) {
    // Convictions go last, since each of them saves targets for certain.
    const auto victim = std::min_element(
      mEntries.begin(),
      mEntries.end(),
      [](const auto& aOne, const auto& aOther) {
        const bool isOneConvicted =
          aOne.second.mVerdict == PoisonVerdict::Convicted;
        const bool isOtherConvicted =
          aOther.second.mVerdict == PoisonVerdict::Convicted;
        return std::pair(isOneConvicted, aOne.second.mExpiry) <
               std::pair(isOtherConvicted, aOther.second.mExpiry);
      });
    mEntries.erase(victim);
  }
}

PoisonReport
PoisonList::ReportOf(Fingerprint aFingerprint,
                     const Entry& aEntry,
                     Instant aNow) const
{
  return PoisonReport{ aFingerprint,
                       aEntry.mEpisode,
                       aEntry.mVerdict,
                       aEntry.mTrier,
                       std::max(Duration(0), aEntry.mExpiry - aNow) };
}

bool
PoisonList::Overrides(const PoisonReport& aReport, const Entry& aEntry)
{
  return std::pair(aReport.mEpisode, aReport.mVerdict) >
         std::pair(aEntry.mEpisode, aEntry.mVerdict);
}

} // namespace verbenachute
