#include "LeaseFixture.h"

#include <LibLease/RosterSteward.h>

namespace verbenachute {

namespace {

class StewardFixture
{
public:
  LeaseSettings mSettings;
  Instant mNow{ seconds(1000) };
  RosterSteward mSteward{ mSettings };

  void Members(const std::vector<int>& aLive, const std::vector<int>& aListed)
  {
    std::vector<LeaseMember> live;
    for (const int number : aLive) {
      const char* domains[] = { "caxias-a", "caxias-b", "bento-c" };
      live.push_back(
        { Node(number).mName, FailureDomain(domains[number % 3]) });
    }
    std::set<NodeName> listed;
    for (const int number : aListed) {
      listed.insert(Node(number).mName);
    }
    mSteward.OnMembers(live, listed, mNow);
  }
  void Confirm(const std::vector<int>& aVoters, std::uint64_t aEpoch)
  {
    for (const int number : aVoters) {
      mSteward.OnVoterEpoch(Node(number).mName, RosterEpoch(aEpoch), mNow);
    }
  }
};

} // namespace

TEST_CASE("The first roster is made of the live nodes, over all domains")
{
  StewardFixture fixture;
  fixture.Members({ 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 }, {});
  CHECK(!fixture.mSteward.Consider(fixture.mNow));
  fixture.mSteward.OnStoreRoster({}, fixture.mNow);
  const std::optional<RosterProposal> proposal =
    fixture.mSteward.Consider(fixture.mNow);
  REQUIRE(proposal);
  CHECK(proposal->mExpected == RosterEpoch(0));
  CHECK(proposal->mNext.mEpoch == RosterEpoch(1));
  CHECK(proposal->mNext.mVoters.size() == 9);
  CHECK(!fixture.mSteward.Consider(fixture.mNow));
}

TEST_CASE("A change waits for a majority and then for a full lease")
{
  struct Row
  {
    const char* mName;
    std::vector<int> mConfirmed;
    Duration mWait;
    std::vector<int> mListed;
    bool mChanges;
  };
  const Row rows[] = {
    { "no one has confirmed", {}, seconds(60), { 1, 2, 3, 4, 5 }, false },
    { "a minority has confirmed",
      { 1, 2 },
      seconds(60),
      { 1, 2, 3, 4, 5 },
      false },
    { "the leases of the roster before may be in force",
      { 1, 2, 3 },
      milliseconds(3149),
      { 1, 2, 3, 4, 5 },
      false },
    { "they have expired",
      { 1, 2, 3 },
      milliseconds(3150),
      { 1, 2, 3, 4, 5 },
      true },
    { "the VMs of the rest have ended", { 1, 2 }, seconds(0), { 1, 2 }, true },
  };
  for (const Row& row : rows) {
    CAPTURE(row.mName);
    StewardFixture fixture;
    fixture.mSteward.OnStoreRoster(RosterOf(5), fixture.mNow);
    fixture.Members({ 1, 2 }, row.mListed);
    fixture.mNow += seconds(10);
    fixture.Members({ 1, 2 }, row.mListed);
    fixture.Confirm(row.mConfirmed, 1);
    fixture.mNow += row.mWait;
    const std::optional<RosterProposal> proposal =
      fixture.mSteward.Consider(fixture.mNow);
    CHECK(proposal.has_value() == row.mChanges);
    if (proposal) {
      CHECK(proposal->mNext.mVoters.size() == 4);
    }
  }
}

TEST_CASE("Each change is of one voter, and consecutive majorities intersect")
{
  StewardFixture fixture;
  Roster roster = RosterOf(9);
  std::vector<int> live{ 4, 5, 6, 7, 8, 9, 10, 11, 12 };
  for (int change = 0; change < 6; ++change) {
    CAPTURE(change);
    fixture.mSteward.OnStoreRoster(roster, fixture.mNow);
    fixture.Members(live, live);
    fixture.Confirm(live, roster.mEpoch.value());
    fixture.mNow += seconds(12);
    const std::optional<RosterProposal> proposal =
      fixture.mSteward.Consider(fixture.mNow);
    REQUIRE(proposal);
    const Roster& next = proposal->mNext;
    std::set<NodeName> all(roster.mVoters.begin(), roster.mVoters.end());
    all.insert(next.mVoters.begin(), next.mVoters.end());
    CHECK(roster.Majority() + next.Majority() > all.size());
    const bool isRemoval = next.mVoters.size() < roster.mVoters.size();
    CHECK(all.size() == std::max(next.mVoters.size(), roster.mVoters.size()));
    CHECK(next.mVoters.size() == roster.mVoters.size() + (isRemoval ? -1 : 1));
    fixture.mSteward.OnOutcome(RosterOutcome::Unknown, fixture.mNow);
    CHECK(!fixture.mSteward.Consider(fixture.mNow));
    roster = next;
  }
  for (const int gone : { 1, 2, 3 }) {
    CHECK(!roster.Contains(Node(gone).mName));
  }
}

} // namespace verbenachute
