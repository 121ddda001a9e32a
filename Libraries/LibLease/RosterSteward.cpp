#include <LibLease/RosterSteward.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

namespace {

/// Voters of a region: enough to lose a failure domain and two voters more.
constexpr std::size_t kMaxVoters = 9;
/// A voter is replaced when it has not been live for this long.
constexpr Duration kAbsenceBeforeRemoval = seconds(10);

} // namespace

RosterSteward::RosterSteward(const LeaseSettings& aSettings)
  : mSettings(aSettings)
{
}

void
RosterSteward::OnStoreRoster(const Roster& aRoster, Instant aNow)
{
  if (mProgress != Progress::Unread && aRoster.mEpoch <= mRoster.mEpoch) {
    return;
  }
  mProgress = Progress::Settled;
  if (aRoster.mEpoch > mRoster.mEpoch) {
    mRoster = aRoster;
    mConfirmed.clear();
    mConfirmedAt.reset();
  }
  NoteConfirmation(aNow);
}

void
RosterSteward::OnMembers(const std::vector<LeaseMember>& aLive,
                         const std::set<NodeName>& aListed,
                         Instant aNow)
{
  mLive = aLive;
  mListed = aListed;
  std::map<NodeName, Instant> absent;
  for (const NodeName& voter : mRoster.mVoters) {
    if (!IsLive(voter)) {
      const auto known = mAbsentSince.find(voter);
      absent[voter] = known == mAbsentSince.end() ? aNow : known->second;
    }
  }
  mAbsentSince = std::move(absent);
  NoteConfirmation(aNow);
}

void
RosterSteward::OnVoterEpoch(const NodeName& aVoter,
                            RosterEpoch aEpoch,
                            Instant aNow)
{
  if (aEpoch == mRoster.mEpoch && mRoster.Contains(aVoter)) {
    mConfirmed.insert(aVoter);
    NoteConfirmation(aNow);
  }
}

void
RosterSteward::OnOutcome(RosterOutcome aOutcome, Instant /*aNow*/)
{
  // A written roster too is taken only from the store, by the same way as at
  // the other nodes, so an answer that was lost needs no case of its own.
  VERIFY(aOutcome == RosterOutcome::Written ||
         aOutcome == RosterOutcome::Conflict ||
         aOutcome == RosterOutcome::Unknown);
  if (mProgress == Progress::Proposed) {
    mProgress = Progress::Unread;
  }
}

std::optional<RosterProposal>
RosterSteward::Consider(Instant aNow)
{
  if (mProgress != Progress::Settled) {
    return std::nullopt;
  }
  const std::optional<Roster> next = NextRoster(aNow);
  if (!next) {
    return std::nullopt;
  }
  VERIFY(!next->mVoters.empty());
  mProgress = Progress::Proposed;
  return RosterProposal{ mRoster.mEpoch, *next };
}

bool
RosterSteward::IsLive(const NodeName& aNode) const
{
  return std::any_of(
    mLive.begin(), mLive.end(), [&aNode](const LeaseMember& aMember) {
      return aMember.mName == aNode;
    });
}

bool
RosterSteward::IsEnded(const NodeName& aVoter) const
{
  return !IsLive(aVoter) && !mListed.contains(aVoter);
}

bool
RosterSteward::AllVotersEnded() const
{
  return std::all_of(mRoster.mVoters.begin(),
                     mRoster.mVoters.end(),
                     [this](const auto& aVoter) { return IsEnded(aVoter); });
}

void
RosterSteward::NoteConfirmation(Instant aNow)
{
  // A voter whose VM has ended grants nothing any more, under any epoch.
  const auto settled = std::count_if(
    mRoster.mVoters.begin(), mRoster.mVoters.end(), [this](const auto& aVoter) {
      return mConfirmed.contains(aVoter) || IsEnded(aVoter);
    });
  const bool isMajority =
    static_cast<std::size_t>(settled) >= mRoster.Majority();
  if (isMajority && !mConfirmedAt) {
    mConfirmedAt = aNow;
  } else if (!isMajority) {
    mConfirmedAt.reset();
  }
}

std::optional<Roster>
RosterSteward::NextRoster(Instant aNow) const
{
  Roster next = mRoster;
  next.mEpoch = RosterEpoch(mRoster.mEpoch.value() + 1);
  if (mRoster.mVoters.empty()) {
    next.mVoters = FirstVoters();
    return next.mVoters.empty() ? std::nullopt : std::optional<Roster>(next);
  }
  if (!mConfirmedAt || aNow < *mConfirmedAt + mSettings.VoterDuration()) {
    return std::nullopt;
  }
  if (AllVotersEnded()) {
    next.mVoters = FirstVoters();
    return next.mVoters.empty() ? std::nullopt : std::optional<Roster>(next);
  }
  const std::optional<NodeName> removed = VoterToRemove(aNow);
  const std::optional<NodeName> added = VoterToAdd(mRoster.mVoters);
  if (removed) {
    std::erase(next.mVoters, *removed);
    return next;
  }
  if (added && mRoster.mVoters.size() < kMaxVoters) {
    next.mVoters.push_back(*added);
    std::sort(next.mVoters.begin(), next.mVoters.end());
    return next;
  }
  return std::nullopt;
}

std::vector<NodeName>
RosterSteward::FirstVoters() const
{
  std::vector<NodeName> voters;
  while (voters.size() < kMaxVoters) {
    const std::optional<NodeName> added = VoterToAdd(voters);
    if (!added) {
      break;
    }
    voters.push_back(*added);
  }
  std::sort(voters.begin(), voters.end());
  return voters;
}

std::optional<NodeName>
RosterSteward::VoterToRemove(Instant aNow) const
{
  if (mRoster.mVoters.size() <= 1) {
    return std::nullopt;
  }
  for (const NodeName& voter : mRoster.mVoters) {
    const auto absent = mAbsentSince.find(voter);
    if (absent != mAbsentSince.end() &&
        aNow >= absent->second + kAbsenceBeforeRemoval) {
      return voter;
    }
  }
  return std::nullopt;
}

std::optional<NodeName>
RosterSteward::VoterToAdd(const std::vector<NodeName>& aVoters) const
{
  std::optional<NodeName> best;
  std::size_t fewest = 0;
  for (const LeaseMember& member : mLive) {
    const bool isVoter =
      std::find(aVoters.begin(), aVoters.end(), member.mName) != aVoters.end();
    const std::size_t beside = VotersIn(member.mDomain, aVoters);
    if (!isVoter && (!best || beside < fewest)) {
      best = member.mName;
      fewest = beside;
    }
  }
  return best;
}

std::size_t
RosterSteward::VotersIn(const FailureDomain& aDomain,
                        const std::vector<NodeName>& aVoters) const
{
  const auto count = std::count_if(
    mLive.begin(),
    mLive.end(),
    [&aDomain, &aVoters](const LeaseMember& aMember) {
      return aMember.mDomain == aDomain &&
             std::find(aVoters.begin(), aVoters.end(), aMember.mName) !=
               aVoters.end();
    });
  return static_cast<std::size_t>(count);
}

} // namespace verbenachute
