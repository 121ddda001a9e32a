#include "LeaseFixture.h"

namespace verbenachute {

TEST_CASE("A voter grants a bucket to one holder until the grant expires")
{
  LeaseFixture fixture;
  LeaseVoter& voter = fixture.mVoters[0];
  CHECK(voter.OnRequest(fixture.Ask(1, 1), fixture.mNow).mGranted.size() == 1);
  const LeaseReply refused = voter.OnRequest(fixture.Ask(2, 1), fixture.mNow);
  CHECK(refused.mGranted.empty());
  REQUIRE(refused.mRefused.size() == 1);
  CHECK(refused.mRefused[0].mHolder == Node(1));

  fixture.Pass(fixture.mSettings.VoterDuration() - milliseconds(1));
  CHECK(voter.OnRequest(fixture.Ask(2, 2), fixture.mNow).mGranted.empty());
  fixture.Pass(milliseconds(1));
  CHECK(voter.OnRequest(fixture.Ask(2, 3), fixture.mNow).mGranted.size() == 1);
}

TEST_CASE("A grant outlasts the lease, the drift and the longest run")
{
  const LeaseSettings settings;
  CHECK(settings.VoterDuration() ==
        (settings.mDuration + settings.mLongestRun) * 105 / 100);
}

TEST_CASE("What a voter does not grant")
{
  struct Row
  {
    const char* mName;
    void (*mChange)(LeaseFixture&, LeaseRequest&);
    std::size_t mGranted;
  };
  const Row rows[] = {
    { "an ordinary request", [](LeaseFixture&, LeaseRequest&) {}, 1 },
    { "another epoch",
      [](LeaseFixture&, LeaseRequest& aAsk) { aAsk.mEpoch = RosterEpoch(2); },
      0 },
    { "a longer lease than its own settings allow",
      [](LeaseFixture&, LeaseRequest& aAsk) { aAsk.mDuration += seconds(1); },
      0 },
    { "another life of the holder",
      [](LeaseFixture& aFixture, LeaseRequest& aAsk) {
        (void)aFixture.mVoters[0].OnRequest(aAsk, aFixture.mNow);
        aAsk.mHolder = Node(1, 2);
      },
      0 },
    { "a request that a release has overtaken",
      [](LeaseFixture& aFixture, LeaseRequest& aAsk) {
        aFixture.mVoters[0].OnRelease(
          { aAsk.mHolder, aAsk.mRound, aAsk.mBuckets }, aFixture.mNow);
      },
      0 },
    { "after a pause of its own",
      [](LeaseFixture& aFixture, LeaseRequest&) {
        aFixture.mNow += seconds(1);
      },
      0 },
    { "once it has settled after a pause",
      [](LeaseFixture& aFixture, LeaseRequest&) {
        aFixture.mNow += seconds(1);
        aFixture.Pass(seconds(2));
      },
      1 },
    { "in a new life with the roster of the store",
      [](LeaseFixture& aFixture, LeaseRequest&) {
        aFixture.mVoters[0] =
          LeaseVoter(Node(1, 2), aFixture.mSettings, aFixture.mNow);
        aFixture.mVoters[0].OnStoreRoster(RosterOf(3));
        aFixture.Pass(aFixture.mSettings.VoterDuration() - milliseconds(1));
      },
      0 },
    { "in a new life after a full lease",
      [](LeaseFixture& aFixture, LeaseRequest&) {
        aFixture.mVoters[0] =
          LeaseVoter(Node(1, 2), aFixture.mSettings, aFixture.mNow);
        aFixture.mVoters[0].OnStoreRoster(RosterOf(3));
        aFixture.Pass(aFixture.mSettings.VoterDuration());
      },
      1 },
    { "in a new life that one peer has told a roster",
      [](LeaseFixture& aFixture, LeaseRequest&) {
        aFixture.mVoters[0] =
          LeaseVoter(Node(1, 2), aFixture.mSettings, aFixture.mNow);
        aFixture.Pass(seconds(4));
        aFixture.mVoters[0].OnPeerRoster(
          Node(2).mName, RosterOf(3), aFixture.mNow);
      },
      0 },
    { "in a new life that a majority has told the roster",
      [](LeaseFixture& aFixture, LeaseRequest&) {
        aFixture.mVoters[0] =
          LeaseVoter(Node(1, 2), aFixture.mSettings, aFixture.mNow);
        aFixture.Pass(seconds(4));
        for (const int peer : { 2, 3 }) {
          aFixture.mVoters[0].OnPeerRoster(
            Node(peer).mName, RosterOf(3), aFixture.mNow);
        }
      },
      1 },
    { "as no voter of the roster",
      [](LeaseFixture& aFixture, LeaseRequest& aAsk) {
        Roster roster = RosterOf(3, 2);
        roster.mVoters.erase(roster.mVoters.begin());
        aFixture.mVoters[0].OnStoreRoster(roster);
        aAsk.mEpoch = RosterEpoch(2);
      },
      0 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.mName);
    LeaseFixture fixture;
    LeaseRequest request = fixture.Ask(1, 5);
    row.mChange(fixture, request);
    const LeaseReply reply =
      fixture.mVoters[0].OnRequest(request, fixture.mNow);
    CHECK(reply.mGranted.size() == row.mGranted);
  }
}

TEST_CASE("A late release does not free a lease that was granted after it")
{
  LeaseFixture fixture;
  LeaseVoter& voter = fixture.mVoters[0];
  (void)voter.OnRequest(fixture.Ask(1, 2), fixture.mNow);
  voter.OnRelease({ Node(1), 1, { fixture.mBucket } }, fixture.mNow);
  CHECK(voter.OnRequest(fixture.Ask(2, 1), fixture.mNow).mGranted.empty());
  voter.OnRelease({ Node(1), 2, { fixture.mBucket } }, fixture.mNow);
  CHECK(voter.OnRequest(fixture.Ask(2, 2), fixture.mNow).mGranted.size() == 1);
}

TEST_CASE("A reply tells the highest revision and who else asked")
{
  LeaseFixture fixture;
  LeaseVoter& voter = fixture.mVoters[0];
  voter.OnRevision(Revision(9));
  (void)voter.OnRequest(fixture.Ask(1, 1), fixture.mNow);
  (void)voter.OnRequest(fixture.Ask(2, 1), fixture.mNow);
  const LeaseReply reply = voter.OnRequest(fixture.Ask(1, 2), fixture.mNow);
  CHECK(reply.mRevision == Revision(9));
  REQUIRE(reply.mContenders.size() == 1);
  CHECK(reply.mContenders[0].mHolder == Node(2));
}

} // namespace verbenachute
