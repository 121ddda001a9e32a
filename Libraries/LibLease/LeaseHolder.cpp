#include <LibLease/LeaseHolder.h>

#include <LibCore/Verify.h>
#include <LibLease/HolderRanking.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

/// Members that ask for a bucket: the first in its ranking and one that
/// stands in when the first is gone.
constexpr std::size_t kAskersPerBucket = 2;
/// Rounds that a member waits after a minority of votes, by its rank. They
/// differ so that two askers do not split the votes for ever.
constexpr std::uint64_t kFirstPause = 2;
constexpr std::uint64_t kStandInPause = 5;
/// Rounds that a member leaves a bucket alone which it has handed over.
constexpr std::uint64_t kPauseAfterHandOver = 8;

} // namespace

LeaseHolder::LeaseHolder(NodeIdentity aSelf, const LeaseSettings& aSettings)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
{
}

LeaseActions
LeaseHolder::OnDomains(const std::vector<FailureDomain>& aDomains, Instant aNow)
{
  // A bucket of a domain that is gone is asked for no more and lapses.
  std::map<Bucket, Tenure> tenures;
  LeaseActions actions;
  for (const FailureDomain& domain : aDomains) {
    for (const Bucket& bucket : BucketsOf(domain)) {
      const auto known = mTenures.find(bucket);
      tenures[bucket] = known == mTenures.end() ? Tenure{} : known->second;
    }
  }
  for (const auto& [bucket, tenure] : mTenures) {
    if (!tenures.contains(bucket) && tenure.mPhase != Phase::Wanting) {
      actions.emplace_back(BucketLost{ bucket });
    }
  }
  mTenures = std::move(tenures);
  Rank();
  Expire(aNow, &actions);
  return actions;
}

LeaseActions
LeaseHolder::OnMembers(const std::vector<LeaseMember>& aMembers, Instant aNow)
{
  LeaseActions actions;
  mMembers = aMembers;
  Rank();
  Expire(aNow, &actions);
  return actions;
}

LeaseActions
LeaseHolder::OnRoster(const Roster& aRoster, Instant aNow)
{
  LeaseActions actions;
  Expire(aNow, &actions);
  if (aRoster.mEpoch <= mRoster.mEpoch) {
    return actions;
  }
  // Votes of two rosters must not be added up.
  mRounds.clear();
  mRoster = aRoster;
  mNextRound = aNow;
  actions.emplace_back(WakeHolderAt{ aNow });
  return actions;
}

void
LeaseHolder::OnRevision(Revision aRevision)
{
  mRevision = std::max(mRevision, aRevision);
}

LeaseActions
LeaseHolder::OnReply(const LeaseReply& aReply, Instant aNow)
{
  LeaseActions actions;
  Expire(aNow, &actions);
  if (aReply.mHolder != mSelf) {
    return actions;
  }
  mRequiredRevision = std::max(mRequiredRevision, aReply.mRevision);
  Incarnation& life = mVoterLives[aReply.mVoter.mName];
  const auto round = mRounds.find(aReply.mRound);
  if (aReply.mVoter.mIncarnation < life || round == mRounds.end()) {
    return actions;
  }
  life = aReply.mVoter.mIncarnation;
  for (const BucketHolder& refused : aReply.mRefused) {
    const auto tenure = mTenures.find(refused.mBucket);
    if (tenure != mTenures.end()) {
      tenure->second.mToldHolder = refused.mHolder;
    }
  }
  round->second.Count(aReply);
  ApplyRound(aReply.mRound, aNow, &actions);
  return actions;
}

LeaseActions
LeaseHolder::OnDrained(const Bucket& aBucket, Instant aNow)
{
  LeaseActions actions;
  const auto found = mTenures.find(aBucket);
  if (found == mTenures.end() || found->second.mPhase != Phase::HandingOver) {
    return actions;
  }
  Tenure& tenure = found->second;
  tenure.mPhase = Phase::Wanting;
  tenure.mValidUntil = aNow;
  tenure.mWorkEnd = aNow;
  tenure.mIgnoredThrough = mRoundNumber;
  tenure.mResumeAt = mRoundNumber + kPauseAfterHandOver;
  Release({ aBucket }, mRoundNumber, &actions);
  actions.emplace_back(BucketLost{ aBucket });
  return actions;
}

LeaseActions
LeaseHolder::OnTimer(Instant aNow)
{
  LeaseActions actions;
  Expire(aNow, &actions);
  if (aNow >= mNextRound) {
    GiveUpMinorities(aNow, &actions);
    ForgetOldRounds(aNow);
    StartRound(aNow, &actions);
    mNextRound = aNow + mSettings.mRenewal;
  }
  actions.emplace_back(WakeHolderAt{ mNextRound });
  return actions;
}

bool
LeaseHolder::Holds(const Bucket& aBucket, Instant aNow) const
{
  const auto tenure = mTenures.find(aBucket);
  return tenure != mTenures.end() && tenure->second.mPhase != Phase::Wanting &&
         aNow < tenure->second.mValidUntil;
}

bool
LeaseHolder::MayDispatch(const Bucket& aBucket, Instant aNow) const
{
  const auto tenure = mTenures.find(aBucket);
  return tenure != mTenures.end() && tenure->second.mPhase == Phase::Held &&
         aNow < tenure->second.mValidUntil;
}

std::vector<Bucket>
LeaseHolder::HeldBuckets(Instant aNow) const
{
  std::vector<Bucket> held;
  for (const auto& [bucket, tenure] : mTenures) {
    if (Holds(bucket, aNow)) {
      held.push_back(bucket);
    }
  }
  return held;
}

std::optional<NodeIdentity>
LeaseHolder::ToldHolder(const Bucket& aBucket) const
{
  const auto tenure = mTenures.find(aBucket);
  return tenure == mTenures.end() ? std::nullopt : tenure->second.mToldHolder;
}

std::size_t
LeaseHolder::RankOf(const Tenure& aTenure, const NodeName& aNode) const
{
  const auto place =
    std::find(aTenure.mRanking.begin(), aTenure.mRanking.end(), aNode);
  return static_cast<std::size_t>(place - aTenure.mRanking.begin());
}

bool
LeaseHolder::IsAskedFor(const Tenure& aTenure) const
{
  switch (aTenure.mPhase) {
    case Phase::Held:
      return true;
    case Phase::HandingOver:
      return false;
    case Phase::Wanting:
      break;
  }
  const std::size_t rank = RankOf(aTenure, mSelf.mName);
  return rank < std::min(kAskersPerBucket, aTenure.mRanking.size()) &&
         mRoundNumber >= aTenure.mResumeAt;
}

void
LeaseHolder::Rank()
{
  for (auto& [bucket, tenure] : mTenures) {
    tenure.mRanking = RankHolders(bucket, mMembers);
  }
}

void
LeaseHolder::Expire(Instant aNow, LeaseActions* aActions)
{
  for (auto& [bucket, tenure] : mTenures) {
    if (tenure.mPhase == Phase::Wanting || aNow < tenure.mValidUntil) {
      continue;
    }
    tenure.mPhase = Phase::Wanting;
    aActions->emplace_back(BucketLost{ bucket });
  }
}

void
LeaseHolder::StartRound(Instant aNow, LeaseActions* aActions)
{
  ++mRoundNumber;
  std::set<Bucket> asked;
  for (const auto& [bucket, tenure] : mTenures) {
    if (IsAskedFor(tenure)) {
      asked.insert(bucket);
    }
  }
  LeaseRequest request;
  request.mHolder = mSelf;
  request.mEpoch = mRoster.mEpoch;
  request.mRound = mRoundNumber;
  request.mBuckets.assign(asked.begin(), asked.end());
  request.mDuration = mSettings.mDuration;
  request.mRevision = mRevision;
  // Sent also without buckets: the reply tells the revision and the epoch.
  for (const NodeName& voter : mRoster.mVoters) {
    aActions->emplace_back(SendLeaseRequest{ voter, request });
  }
  mRounds.emplace(mRoundNumber, LeaseRound(mRoster, aNow, std::move(asked)));
}

void
LeaseHolder::GiveUpMinorities(Instant aNow, LeaseActions* aActions)
{
  const auto last = mRounds.find(mRoundNumber);
  if (last == mRounds.end()) {
    return;
  }
  std::vector<Bucket> given;
  for (const Bucket& bucket : last->second.Asked()) {
    const auto found = mTenures.find(bucket);
    if (found == mTenures.end() || found->second.mPhase != Phase::Wanting ||
        last->second.Grants(bucket) == 0) {
      continue;
    }
    Tenure& tenure = found->second;
    const bool isFirst = RankOf(tenure, mSelf.mName) == 0;
    tenure.mIgnoredThrough = mRoundNumber;
    tenure.mResumeAt = mRoundNumber + (isFirst ? kFirstPause : kStandInPause);
    // Work of a lapsed lease may still run; only its end frees the votes.
    if (tenure.mWorkEnd <= aNow) {
      given.push_back(bucket);
    }
  }
  if (!given.empty()) {
    Release(given, mRoundNumber, aActions);
  }
}

void
LeaseHolder::ForgetOldRounds(Instant aNow)
{
  std::erase_if(mRounds, [this, aNow](const auto& aRound) {
    return aRound.second.Sent() + mSettings.mDuration <= aNow;
  });
}

void
LeaseHolder::ApplyRound(std::uint64_t aNumber,
                        Instant aNow,
                        LeaseActions* aActions)
{
  const LeaseRound& round = mRounds.at(aNumber);
  for (const Bucket& bucket : round.Asked()) {
    if (round.HasMajority(bucket)) {
      Extend(bucket, aNumber, aNow, aActions);
      ConsiderHandOver(bucket, round.Contenders(bucket), aActions);
    }
  }
}

void
LeaseHolder::Extend(const Bucket& aBucket,
                    std::uint64_t aNumber,
                    Instant aNow,
                    LeaseActions* aActions)
{
  const auto found = mTenures.find(aBucket);
  if (found == mTenures.end()) {
    return;
  }
  Tenure& tenure = found->second;
  const Instant validUntil = mRounds.at(aNumber).Sent() + mSettings.mDuration;
  if (tenure.mPhase == Phase::HandingOver ||
      aNumber <= tenure.mIgnoredThrough || validUntil <= aNow) {
    return;
  }
  VERIFY(validUntil <= aNow + mSettings.mDuration);
  tenure.mToldHolder.reset();
  if (tenure.mPhase == Phase::Wanting) {
    tenure.mPhase = Phase::Held;
    tenure.mValidUntil = validUntil;
    aActions->emplace_back(BucketGained{ aBucket });
  }
  tenure.mValidUntil = std::max(tenure.mValidUntil, validUntil);
  tenure.mWorkEnd = tenure.mValidUntil + mSettings.RunWithDrift();
}

void
LeaseHolder::ConsiderHandOver(const Bucket& aBucket,
                              const std::set<NodeName>& aContenders,
                              LeaseActions* aActions)
{
  const auto found = mTenures.find(aBucket);
  if (found == mTenures.end() || found->second.mPhase != Phase::Held) {
    return;
  }
  Tenure& tenure = found->second;
  const std::size_t own = RankOf(tenure, mSelf.mName);
  const bool isOutranked = std::any_of(aContenders.begin(),
                                       aContenders.end(),
                                       [this, &tenure, own](const auto& aNode) {
                                         return RankOf(tenure, aNode) < own;
                                       });
  if (isOutranked) {
    tenure.mPhase = Phase::HandingOver;
    aActions->emplace_back(BucketStopping{ aBucket });
  }
}

void
LeaseHolder::Release(const std::vector<Bucket>& aBuckets,
                     std::uint64_t aRound,
                     LeaseActions* aActions) const
{
  const LeaseRelease release{ mSelf, aRound, aBuckets };
  for (const NodeName& voter : mRoster.mVoters) {
    aActions->emplace_back(SendLeaseRelease{ voter, release });
  }
}

} // namespace verbenachute
