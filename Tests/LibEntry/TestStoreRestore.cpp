#include <LibEntry/ConfigurationRestore.h>
#include <LibEntry/EntryState.h>
#include <LibEntry/PlanCatchUp.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Instant kNow{ seconds(50) };

class SilentLogger final : public Logger
{
public:
  void Log(const LogEvent&) override {}
};

std::string
Plan(int aVersion)
{
  return R"({"Version":)" + std::to_string(aVersion) +
         R"(,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/",)"
         R"("RouteKind":"safe","Backend":"b"}],)"
         R"("Backends":[{"Name":"b","MaxConns":26}]})";
}

StoreItem
Item(const char* aKey, const std::string& aValue, std::uint64_t aRevision)
{
  return StoreItem{ aKey, aValue, StoreRevision(aRevision) };
}

/// A node whose mirror is filled from copies of the store.
struct Rig
{
  ForwardEngine mEngine{ ForwardSettings() };
  SilentLogger mLogger;
  EntryState mEntryState{ mEngine,
                          mLogger,
                          { { FailureDomain("a"), Region("r") } },
                          Region("r") };
  StoreFollower mFollower{ StoreFollower::Settings() };

  void Restore(const std::vector<StoreItem>& aItems, StorePosition aPosition)
  {
    const StoreMirror::Changes changes =
      mFollower.OnPeerCopy(aItems, aPosition, kNow);
    mEntryState.Apply(changes, mFollower, kNow);
  }
};

PlanCatchUp::Inputs
PlanInputs(std::uint64_t aInForce,
           std::optional<PlanVersion> aHeld,
           std::uint64_t aNewestOfPeers)
{
  return {
    StoreEra(1), PlanVersion(aInForce), aHeld, PlanVersion(aNewestOfPeers)
  };
}

} // namespace

TEST_CASE(
  "A running node keeps plan, targets and evacuations that the restored "
  "store lacks")
{
  const std::string target =
    R"({"Backend":"b","Address":"10.0.0.1:80","Zone":"a","Version":"v1",)"
    R"("Capacity":2,"State":"ready","WarmupLeftMs":0,"SeqNo":4})";
  Rig rig;
  rig.Restore({ Item("op/config", Plan(8), 50),
                Item("op/evacuate/a", "", 60),
                Item("servers/i", target, 70) },
              { StoreEra(), StoreRevision(70) });
  REQUIRE(rig.mEngine.Plan());
  rig.Restore({ Item("op/config", Plan(7), 30) },
              { StoreEra(1), StoreRevision(40) });
  CHECK(rig.mEngine.Plan()->Version() == PlanVersion(8));
  // Peers that start get it from here.
  CHECK(rig.mEntryState.EncodedPlan() == Plan(8));
  CHECK(rig.mEntryState.DomainsOut().size() == 1);
  CHECK(rig.mEngine.Targets().Find(TargetName("i")) != nullptr);
  rig.mEntryState.OnTime(kNow + milliseconds(2500));
  CHECK(rig.mEngine.Targets().Find(TargetName("i")) == nullptr);
  CHECK(rig.mEntryState.DomainsOut().size() == 1);

  SUBCASE("An evacuation that is not written again ends")
  {
    rig.mEntryState.OnTime(kNow + EvacuationRetention::kRetained);
    CHECK(rig.mEntryState.DomainsOut().empty());
  }
  SUBCASE("One that is written again ends only when it is removed")
  {
    const auto apply = [&](std::optional<std::string> aValue) {
      rig.mEntryState.Apply({ StoreChange{ "op/evacuate/a",
                                           std::move(aValue),
                                           StoreRevision(60) } },
                            rig.mFollower,
                            kNow);
    };
    apply("");
    rig.mEntryState.OnTime(kNow + EvacuationRetention::kRetained);
    CHECK(rig.mEntryState.DomainsOut().size() == 1);
    apply(std::nullopt);
    CHECK(rig.mEntryState.DomainsOut().empty());
  }
}

// Guards against a node that starts between the restore and the operator's
// second write and serves by the older plan of the store.
TEST_CASE("A node that starts holds the plan of a restored store back")
{
  Rig rig;
  rig.Restore({ Item("op/config", Plan(7), 30) },
              { StoreEra(1), StoreRevision(40) });
  CHECK(!rig.mEngine.Plan());
  CHECK(rig.mEntryState.HeldPlan() == PlanVersion(7));
  SUBCASE("A peer has a newer one")
  {
    rig.mEntryState.OfferPlan(Plan(8));
    rig.mEntryState.Apply({}, rig.mFollower, kNow);
    CHECK(rig.mEngine.Plan()->Version() == PlanVersion(8));
  }
  SUBCASE("No peer has a newer one")
  {
    rig.mEntryState.ReleaseHeldPlan();
    rig.mEntryState.Apply({}, rig.mFollower, kNow);
    CHECK(rig.mEngine.Plan()->Version() == PlanVersion(7));
  }
  CHECK(!rig.mEntryState.HeldPlan().has_value());
}

TEST_CASE("A starting node listens to its peers before it takes the store's "
          "plan")
{
  using Decision = PlanCatchUp::Decision;
  PlanCatchUp catchUp;
  const PlanCatchUp::Inputs noNewer = PlanInputs(0, PlanVersion(7), 7);
  CHECK(catchUp.OnTime(noNewer, kNow) == Decision::Wait);
  SUBCASE("No peer has a newer one")
  {
    CHECK(catchUp.OnTime(noNewer, kNow + PlanCatchUp::kListenTime) ==
          Decision::ReleaseHeld);
  }
  SUBCASE("A peer has a newer one")
  {
    const PlanCatchUp::Inputs newer = PlanInputs(0, PlanVersion(7), 8);
    CHECK(catchUp.OnTime(newer, kNow) == Decision::FetchFromPeer);
    CHECK(catchUp.OnTime(newer, kNow + PlanCatchUp::kListenTime) ==
          Decision::Wait);
    catchUp.OnFetchEnded(kNow);
    CHECK(catchUp.OnTime(newer, kNow + PlanCatchUp::kFetchInterval) ==
          Decision::FetchFromPeer);
    // A peer that reports a plan but does not deliver it must not keep the node
    // from serving for ever.
    CHECK(catchUp.OnTime(newer, kNow + PlanCatchUp::kHoldLimit) ==
          Decision::ReleaseHeld);
  }
}

TEST_CASE("A node with a plan fetches only what the store does not bring")
{
  using Decision = PlanCatchUp::Decision;
  PlanCatchUp catchUp;
  const PlanCatchUp::Inputs behind = PlanInputs(7, std::nullopt, 8);
  CHECK(catchUp.OnTime(behind, kNow) == Decision::Wait);
  CHECK(catchUp.OnTime(behind, kNow + PlanCatchUp::kPropagationTime) ==
        Decision::FetchFromPeer);
  PlanCatchUp::Inputs inEra0 = behind;
  inEra0.mEra = StoreEra();
  CHECK(PlanCatchUp().OnTime(inEra0, kNow) == Decision::Wait);
}

TEST_CASE("The configuration in force is written again by one node in turn")
{
  WriterBase base;
  const PartName part{ std::string(32, 'a'), std::string(16, 'b') };
  const auto created = Configuration::Create(ConfigurationContent());
  REQUIRE(!IsError(created));
  base.mConfiguration = ValueOf(created);
  base.mHead.mRevision = Revision(4);
  base.mHead.mParts = { part };
  base.mParts[part] = std::make_shared<const std::string>("text");
  ConfigurationHead older = base.mHead;
  older.mRevision = Revision(3);
  OperatorConfiguration::Keys stored{ { std::string(kHeadKey), older.Text() } };
  ConfigurationRestore restore;
  const auto onTime = [&](std::size_t aRank, Instant aNow, StoreEra aEra) {
    return restore.OnTime({ aEra, base, stored, aRank }, aNow);
  };
  CHECK(!onTime(0, kNow, StoreEra()).has_value());
  CHECK(!onTime(1, kNow, StoreEra(1)).has_value());
  const Instant firstTurn = kNow + ConfigurationRestore::kFirstTurn;
  CHECK(!onTime(1, firstTurn, StoreEra(1)).has_value());
  const Instant turn = firstTurn + ConfigurationRestore::kTurn;
  SUBCASE("No other node has written it")
  {
    const auto rewrite = onTime(1, turn, StoreEra(1));
    REQUIRE(rewrite.has_value());
    CHECK(rewrite->mHead == base.mHead.Text());
    REQUIRE(rewrite->mParts.size() == 1);
    CHECK(rewrite->mParts[0].first == part.Key());
    // One attempt at a time.
    CHECK(!onTime(1, turn + seconds(60), StoreEra(1)).has_value());
    restore.OnRewriteEnded(turn);
    CHECK(onTime(1, turn + ConfigurationRestore::kRetryTime, StoreEra(1))
            .has_value());
  }
  SUBCASE("Another node has written the head but lost the parts")
  {
    stored[std::string(kHeadKey)] = base.mHead.Text();
    const auto rewrite = onTime(1, turn, StoreEra(1));
    REQUIRE(rewrite.has_value());
    CHECK(!rewrite->mHead.has_value());
    CHECK(rewrite->mParts.size() == 1);
  }
  SUBCASE("Another node has written all of it")
  {
    stored[std::string(kHeadKey)] = base.mHead.Text();
    stored[part.Key()] = "text";
    CHECK(!onTime(1, turn, StoreEra(1)).has_value());
  }
  SUBCASE("The store has a newer one")
  {
    ConfigurationHead newer = base.mHead;
    newer.mRevision = Revision(5);
    stored[std::string(kHeadKey)] = newer.Text();
    CHECK(!onTime(1, turn, StoreEra(1)).has_value());
  }
}

} // namespace verbenachute
