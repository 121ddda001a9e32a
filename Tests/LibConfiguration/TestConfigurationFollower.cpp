#include "TestConfigurations.h"

#include <LibConfiguration/ConfigurationFollower.h>

namespace verbenachute {

namespace {

const NodeName kSelf("node-1");
const NodeName kPeer("node-2");
const Instant kStart(seconds(100));

/// The small configuration after so many label changes.
EncodedConfiguration
EncodedAt(std::uint64_t aRevision)
{
  ConfigurationPointer configuration = SmallConfiguration();
  while (configuration->CurrentRevision() < Revision(aRevision)) {
    const std::string name =
      "op-" + std::to_string(configuration->CurrentRevision().value());
    configuration = ValueOf(ConfigurationEditor::Apply(
                              configuration, LabelRequest(name, "k", name)))
                      .mConfiguration;
  }
  return ValueOf(
    ConfigurationCodec::Encode(*configuration, {}, PartTag("test")));
}

template<typename Action>
std::vector<Action>
Only(const ConfigurationFollower::Actions& aActions)
{
  std::vector<Action> found;
  for (const FollowerAction& action : aActions) {
    if (const Action* typed = std::get_if<Action>(&action)) {
      found.push_back(*typed);
    }
  }
  return found;
}

/// A follower and the answers of one source to whatever it asks.
class Fixture
{
public:
  Fixture()
    : mFollower(kSelf)
    , mActions(mFollower.Start(kStart))
  {
  }

  /// Answers the head that was asked for last.
  void AnswerHead(const ConfigurationSource& aSource,
                  const EncodedConfiguration& aHead,
                  std::uint64_t aKeyRevision,
                  Instant aNow)
  {
    mActions = mFollower.OnHead(
      LastHeadAsk(), aSource, aHead.mHead.Text(), aKeyRevision, aNow);
  }

  /// Answers each part that was asked for.
  void AnswerParts(const EncodedConfiguration& aEncoded, Instant aNow)
  {
    for (const ReadPart& read : Only<ReadPart>(mActions)) {
      mActions = mFollower.OnPart(
        read.mCall, read.mPart, aEncoded.mParts.at(read.mPart), aNow);
    }
  }

  /// Puts a revision in force from the store.
  void Adopt(std::uint64_t aRevision, Instant aNow)
  {
    const EncodedConfiguration encoded = EncodedAt(aRevision);
    AnswerHead(StoreSource{}, encoded, aRevision, aNow);
    AnswerParts(encoded, aNow);
    REQUIRE(mFollower.RevisionInForce() == Revision(aRevision));
  }

  [[nodiscard]] CallId LastHeadAsk() const
  {
    const std::vector<ReadHead> reads = Only<ReadHead>(mActions);
    const std::vector<WatchHead> watches = Only<WatchHead>(mActions);
    return !reads.empty()     ? reads.back().mCall
           : !watches.empty() ? watches.back().mCall
                              : CallId(0);
  }

  void Tick(Instant aNow) { mActions = mFollower.OnTick(aNow); }

  ConfigurationFollower mFollower;
  ConfigurationFollower::Actions mActions;
};

} // namespace

TEST_CASE("All parts come into force together")
{
  Fixture fixture;
  const EncodedConfiguration encoded = EncodedAt(3);
  fixture.AnswerHead(StoreSource{}, encoded, 1, kStart);
  std::vector<ReadPart> reads = Only<ReadPart>(fixture.mActions);
  REQUIRE(reads.size() == encoded.mParts.size());
  for (std::size_t i = 0; i < reads.size(); ++i) {
    CHECK(fixture.mFollower.RevisionInForce() == Revision(0));
    fixture.mActions =
      fixture.mFollower.OnPart(reads[i].mCall,
                               reads[i].mPart,
                               encoded.mParts.at(reads[i].mPart),
                               kStart);
  }
  CHECK(Only<PutInForce>(fixture.mActions).size() == 1);
  CHECK(fixture.mFollower.RevisionInForce() == Revision(3));
  CHECK(fixture.mFollower.IsFresh(kStart, seconds(0)));
}

TEST_CASE("A damaged part is requested again and never used")
{
  Fixture fixture;
  const EncodedConfiguration encoded = EncodedAt(2);
  fixture.AnswerHead(StoreSource{}, encoded, 1, kStart);
  const std::vector<ReadPart> reads = Only<ReadPart>(fixture.mActions);
  fixture.AnswerParts(EncodedAt(2), kStart);
  Fixture other;
  other.AnswerHead(StoreSource{}, encoded, 1, kStart);
  const ReadPart read = Only<ReadPart>(other.mActions).front();
  other.mActions = other.mFollower.OnPart(
    read.mCall, read.mPart, std::make_shared<const std::string>("{}"), kStart);
  CHECK(Only<PutInForce>(other.mActions).empty());
  other.Tick(kStart + seconds(1));
  const std::vector<ReadPart> again = Only<ReadPart>(other.mActions);
  REQUIRE(again.size() == 1);
  CHECK(again.front().mPart == read.mPart);
}

TEST_CASE("Older revisions lose, whoever offers them")
{
  Fixture fixture;
  fixture.Adopt(5, kStart);
  const EncodedConfiguration old = EncodedAt(4);
  for (const ConfigurationSource& source :
       { ConfigurationSource(StoreSource{}), ConfigurationSource(kPeer) }) {
    fixture.mActions = fixture.mFollower.OnHead(
      CallId(77), source, old.mHead.Text(), 9, kStart + seconds(1));
    CHECK(Only<ReadPart>(fixture.mActions).empty());
    CHECK(Only<ReportRefused>(fixture.mActions).size() == 1);
  }
  CHECK(fixture.mFollower.RevisionInForce() == Revision(5));
}

TEST_CASE("A watch that ends without a change confirms, a late one does not")
{
  Fixture fixture;
  fixture.Adopt(2, kStart);
  const Instant isPending = kStart + seconds(1);
  fixture.Tick(isPending);
  const CallId watch = fixture.LastHeadAsk();
  REQUIRE(Only<WatchHead>(fixture.mActions).size() == 1);
  static_cast<void>(
    fixture.mFollower.OnUnchanged(watch, isPending + seconds(3)));
  CHECK(fixture.mFollower.Confirmed() == isPending);

  fixture.Tick(isPending + seconds(4));
  const CallId late = fixture.LastHeadAsk();
  fixture.Tick(isPending + seconds(20));
  static_cast<void>(
    fixture.mFollower.OnUnchanged(late, isPending + seconds(21)));
  CHECK(fixture.mFollower.Confirmed() == isPending);
  CHECK(!fixture.mFollower.IsFresh(isPending + seconds(21), seconds(15)));
}

TEST_CASE("A larger revision that is known of makes the old one stale")
{
  Fixture fixture;
  fixture.Adopt(2, kStart);
  fixture.Tick(kStart + seconds(1));
  const CallId watch = fixture.LastHeadAsk();
  fixture.mActions = fixture.mFollower.OnPeerRevision(
    kPeer, Revision(3), kStart + seconds(1), kStart + seconds(1));
  CHECK(!fixture.mFollower.IsFresh(kStart + seconds(1), seconds(10)));
  CHECK(Only<ReadHead>(fixture.mActions).size() == 1);
  static_cast<void>(fixture.mFollower.OnUnchanged(watch, kStart + seconds(2)));
  CHECK(fixture.mFollower.Confirmed() == kStart);
}

TEST_CASE("A damaged or older head in the store confirms nothing")
{
  const std::string old = EncodedAt(1).mHead.Text();
  for (const std::string& text : { std::string("{}"), old }) {
    Fixture fixture;
    fixture.Adopt(2, kStart);
    fixture.Tick(kStart + seconds(1));
    fixture.mActions = fixture.mFollower.OnHead(
      fixture.LastHeadAsk(), StoreSource{}, text, 9, kStart + seconds(2));
    CHECK(fixture.mFollower.Confirmed() == kStart);
    fixture.Tick(kStart + seconds(4));
    CHECK(Only<WatchHead>(fixture.mActions).empty());
  }
}

TEST_CASE("A new life takes its first configuration from a majority of peers")
{
  Fixture fixture;
  fixture.mFollower.OnPeers({ kPeer, NodeName("node-3"), NodeName("node-4") },
                            kStart);
  static_cast<void>(fixture.mFollower.OnFailure(fixture.LastHeadAsk(), kStart));
  const EncodedConfiguration older = EncodedAt(4);
  const EncodedConfiguration newer = EncodedAt(5);
  fixture.mActions =
    fixture.mFollower.OnPeerRevision(kPeer, Revision(4), std::nullopt, kStart);
  fixture.AnswerHead(kPeer, older, 0, kStart);
  fixture.AnswerParts(older, kStart);
  CHECK(fixture.mFollower.RevisionInForce() == Revision(0));
  fixture.mActions = fixture.mFollower.OnPeerRevision(
    NodeName("node-3"), Revision(5), std::nullopt, kStart);
  CHECK(fixture.mFollower.RevisionInForce() == Revision(0));
  fixture.AnswerHead(NodeName("node-3"), newer, 0, kStart);
  fixture.AnswerParts(newer, kStart);
  CHECK(fixture.mFollower.RevisionInForce() == Revision(5));
}

TEST_CASE("An outage of the store is met with fewer and fewer reads")
{
  ConfigurationFollower follower(kSelf);
  ConfigurationFollower::Actions actions = follower.Start(kStart);
  std::size_t reads = 0;
  for (Instant now = kStart; now < kStart + seconds(600);
       now += milliseconds(100)) {
    for (const ReadHead& read : Only<ReadHead>(actions)) {
      ++reads;
      static_cast<void>(follower.OnFailure(read.mCall, now));
    }
    actions = follower.OnTick(now);
  }
  // At least half of 20 s lie between two reads, but for the first few.
  CHECK(reads >= 20);
  CHECK(reads <= 70);
}

TEST_CASE("Two nodes of a cell watch the store while all is well")
{
  std::vector<NodeName> cell;
  for (int i = 0; i < 16; ++i) {
    cell.emplace_back("node-" + std::to_string(i));
  }
  const EncodedConfiguration encoded = EncodedAt(1);
  std::size_t watching = 0;
  for (const NodeName& name : cell) {
    ConfigurationFollower follower(name);
    follower.OnPeers(cell, kStart);
    const ReadHead read = Only<ReadHead>(follower.Start(kStart)).front();
    static_cast<void>(follower.OnWritten(encoded, kStart, kStart));
    static_cast<void>(follower.OnHead(
      read.mCall, StoreSource{}, encoded.mHead.Text(), 1, kStart));
    bool watches = false;
    for (Instant now = kStart; now < kStart + seconds(30); now += seconds(1)) {
      static_cast<void>(follower.OnPeerRevision(kPeer, Revision(1), now, now));
      const ConfigurationFollower::Actions actions = follower.OnTick(now);
      watches = watches || !Only<WatchHead>(actions).empty();
      CHECK(Only<ReadHead>(actions).empty());
      for (const WatchHead& watch : Only<WatchHead>(actions)) {
        static_cast<void>(follower.OnUnchanged(watch.mCall, now));
      }
    }
    watching += watches ? 1 : 0;
  }
  CHECK(watching == 2);
}

} // namespace verbenachute
