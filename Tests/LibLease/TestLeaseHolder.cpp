#include "LeaseFixture.h"

#include <LibLease/HolderRanking.h>

namespace verbenachute {

TEST_CASE("A majority of one round makes a lease from the time of its request")
{
  struct Row
  {
    const char* mName;
    /// What arrives: indices into the replies of the round, in this order.
    std::vector<int> mArriving;
    Duration mDelay;
    bool mHolds;
  };
  const Row rows[] = {
    { "all replies", { 0, 1, 2 }, milliseconds(0), true },
    { "one cut", { 0, 2 }, milliseconds(0), true },
    { "two cut", { 1 }, milliseconds(0), false },
    { "one reply three times", { 1, 1, 1 }, milliseconds(0), false },
    { "out of order", { 2, 0, 1 }, milliseconds(0), true },
    { "late, but within the lease", { 0, 1, 2 }, milliseconds(1999), true },
    { "after the lease", { 0, 1, 2 }, milliseconds(2000), false },
  };
  for (const Row& row : rows) {
    CAPTURE(row.mName);
    LeaseFixture fixture;
    const Instant sent = fixture.mNow;
    const std::vector<LeaseReply> replies = fixture.Round();
    fixture.mNow += row.mDelay;
    for (const int index : row.mArriving) {
      fixture.mHolder.OnReply(replies[index], fixture.mNow);
    }
    CHECK(fixture.mHolder.MayDispatch(fixture.mBucket, fixture.mNow) ==
          row.mHolds);
    CHECK(!fixture.mHolder.Holds(fixture.mBucket,
                                 sent + fixture.mSettings.mDuration));
  }
}

TEST_CASE("Votes of two rounds, rosters or lives do not add up")
{
  LeaseFixture fixture;
  const std::vector<LeaseReply> first = fixture.Round();
  fixture.mHolder.OnReply(first[0], fixture.mNow);
  SUBCASE("two rounds")
  {
    fixture.Pass(milliseconds(500));
    fixture.mHolder.OnReply(fixture.Round()[1], fixture.mNow);
  }
  SUBCASE("two rosters")
  {
    fixture.mHolder.OnRoster(RosterOf(3, 2), fixture.mNow);
    fixture.mHolder.OnReply(first[1], fixture.mNow);
  }
  SUBCASE("two lives of a voter")
  {
    LeaseReply other = first[0];
    other.mVoter.mIncarnation = Incarnation(2);
    fixture.mHolder.OnReply(other, fixture.mNow);
  }
  SUBCASE("a life of the holder that is over")
  {
    LeaseReply other = first[1];
    other.mHolder = Node(1, 7);
    fixture.mHolder.OnReply(other, fixture.mNow);
  }
  CHECK(!fixture.mHolder.Holds(fixture.mBucket, fixture.mNow));
}

TEST_CASE("A late or repeated reply never makes a lease longer")
{
  LeaseFixture fixture;
  const Instant sent = fixture.mNow;
  const std::vector<LeaseReply> replies = fixture.Round();
  for (const Duration delay : { milliseconds(1), milliseconds(1500) }) {
    for (const LeaseReply& reply : replies) {
      fixture.mHolder.OnReply(reply, sent + delay);
    }
  }
  CHECK(fixture.mHolder.Holds(fixture.mBucket, sent + milliseconds(1999)));
  CHECK(!fixture.mHolder.Holds(fixture.mBucket, sent + seconds(2)));
}

TEST_CASE("A paused holder that wakes up has lost its lease and gains it anew")
{
  LeaseFixture fixture;
  fixture.Gain();
  REQUIRE(fixture.mHolder.MayDispatch(fixture.mBucket, fixture.mNow));
  fixture.Pass(seconds(5));
  CHECK(!fixture.mHolder.MayDispatch(fixture.mBucket, fixture.mNow));
  const LeaseActions woken = fixture.mHolder.OnTimer(fixture.mNow);
  CHECK(Only<BucketLost>(woken).size() == kBucketsPerDomain);
  fixture.Pass(milliseconds(500));
  fixture.Gain();
  CHECK(fixture.mHolder.MayDispatch(fixture.mBucket, fixture.mNow));
}

TEST_CASE("The highest revision that a voter told is required")
{
  LeaseFixture fixture;
  fixture.mVoters[1].OnRevision(Revision(12));
  fixture.mVoters[2].OnRevision(Revision(11));
  fixture.Gain();
  CHECK(fixture.mHolder.RequiredRevision() == Revision(12));
}

TEST_CASE("A holder hands over when a majority saw a more preferred node ask")
{
  LeaseFixture fixture;
  fixture.Gain();
  fixture.mHolder.OnMembers({ { Node(1).mName, FailureDomain("caxias-b") },
                              { Node(2).mName, fixture.mDomain } },
                            fixture.mNow);
  const int askedVoters = 2;
  for (int voter = 0; voter < askedVoters; ++voter) {
    (void)fixture.mVoters[voter].OnRequest(fixture.Ask(2, 1), fixture.mNow);
  }
  fixture.Pass(milliseconds(500));
  LeaseActions actions;
  for (const LeaseReply& reply : fixture.Round()) {
    const LeaseActions more = fixture.mHolder.OnReply(reply, fixture.mNow);
    actions.insert(actions.end(), more.begin(), more.end());
  }
  REQUIRE(Only<BucketStopping>(actions).size() == 1);
  CHECK(!fixture.mHolder.MayDispatch(fixture.mBucket, fixture.mNow));
  CHECK(fixture.mHolder.Holds(fixture.mBucket, fixture.mNow));

  // Its successor gets nothing before the work in hand has ended.
  const LeaseRequest ask = fixture.Ask(2, 2);
  CHECK(fixture.mVoters[0].OnRequest(ask, fixture.mNow).mGranted.empty());
  const LeaseActions drained =
    fixture.mHolder.OnDrained(fixture.mBucket, fixture.mNow);
  CHECK(!fixture.mHolder.Holds(fixture.mBucket, fixture.mNow));
  for (const SendLeaseRelease& sent : Only<SendLeaseRelease>(drained)) {
    fixture.mVoters[0].OnRelease(sent.mRelease, fixture.mNow);
  }
  CHECK(fixture.mVoters[0].OnRequest(ask, fixture.mNow).mGranted.size() == 1);
}

TEST_CASE("A minority of votes is given back, but not while work may run")
{
  LeaseFixture fixture;
  const std::vector<LeaseReply> replies = fixture.Round();
  fixture.mHolder.OnReply(replies[0], fixture.mNow);
  fixture.Pass(milliseconds(500));
  const LeaseActions next = fixture.mHolder.OnTimer(fixture.mNow);
  CHECK(Only<SendLeaseRelease>(next).size() == 3);

  LeaseFixture lapsed;
  lapsed.Gain();
  lapsed.Pass(seconds(2));
  lapsed.mHolder.OnReply(lapsed.Round()[0], lapsed.mNow);
  lapsed.Pass(milliseconds(500));
  CHECK(Only<SendLeaseRelease>(lapsed.mHolder.OnTimer(lapsed.mNow)).empty());
}

TEST_CASE("The loss of a failure domain moves the buckets of that domain only")
{
  std::vector<LeaseMember> members;
  for (int number = 1; number <= 9; ++number) {
    const char* domains[] = { "caxias-a", "caxias-b", "bento-c" };
    members.push_back(
      { Node(number).mName, FailureDomain(domains[number % 3]) });
  }
  std::vector<LeaseMember> rest = members;
  std::erase_if(rest, [](const LeaseMember& aMember) {
    return aMember.mDomain == FailureDomain("caxias-a");
  });
  for (const char* domain : { "caxias-a", "caxias-b", "bento-c" }) {
    for (const Bucket& bucket : BucketsOf(FailureDomain(domain))) {
      const bool isMoved =
        RankHolders(bucket, members)[0] != RankHolders(bucket, rest)[0];
      CHECK(isMoved == (bucket.mDomain == FailureDomain("caxias-a")));
    }
  }
}

} // namespace verbenachute
