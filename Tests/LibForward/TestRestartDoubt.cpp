#include "ForwardRig.h"

#include <LibForward/RestartDoubt.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

// Load pattern: all targets of a service crash together and come back cold
// under their names and addresses, while callers ask as before.

namespace verbenachute {

namespace {

constexpr Instant kStart{ seconds(1000) };
constexpr Duration kWarmup = seconds(3);
constexpr double kColdRate = 2;
// Requests in one second that a cold target bears, over all nodes.
constexpr std::size_t kColdBound = 8;

/// Several nodes with two targets of "once" that are cold after a start. A
/// target that is down refuses connections; one that is up answers after 5 ms.
class RestartFleet
{
public:
  explicit RestartFleet(std::size_t aNodes)
  {
    std::vector<NodeName> names;
    for (std::size_t i = 0; i < aNodes; ++i) {
      names.emplace_back("node-" + std::to_string(i));
    }
    for (const NodeName& name : names) {
      ForwardRig& rig = mNodes.emplace_back();
      rig.mContent.mVersion = PlanVersion(2);
      for (ServiceSettings& serviceSettings : rig.mContent.mServices) {
        serviceSettings.mColdRate = kColdRate;
        serviceSettings.mWarmup = kWarmup;
        serviceSettings.mMaximumConnections = 100;
      }
      rig.mEngine.SetPlan(std::make_shared<const ServingPlan>(rig.mContent));
      rig.mEngine.SetNodes(names, name);
      for (const char* target : { "once-0", "once-1" }) {
        rig.ListTarget(target, "once");
      }
    }
  }

  /// Every node gets a request each 8 ms in turn, for some time.
  void Run(Duration aTime)
  {
    for (const Instant end = mNow + aTime; mNow < end;
         mNow += milliseconds(1)) {
      if (mNow.time_since_epoch() % milliseconds(8) == Duration(0)) {
        mNodes[mNextNode++ % mNodes.size()].Submit("/once/1");
      }
      for (ForwardRig& rig : mNodes) {
        rig.Pass(milliseconds(1));
        Settle(&rig);
        if (mIsStoreUp) {
          KnowList(&rig);
        }
      }
    }
  }

  void Crash() { mUp = { { "once-0", false }, { "once-1", false } }; }
  /// The target listens again, cold; the nodes do not know it yet.
  void ComeBack(const std::string& aTarget)
  {
    mUp[aTarget] = true;
    mCold.insert(aTarget);
  }
  /// All nodes get the entry of the new process.
  void ListAgain(const std::string& aTarget)
  {
    for (ForwardRig& rig : mNodes) {
      ListedTarget listed =
        rig.mEngine.Targets().Find(TargetName(aTarget))->Listed();
      listed.mStartTime = UnixMilliseconds(1);
      listed.mColdTimeLeft = kWarmup;
      rig.mEngine.Targets().List(listed, rig.mNow);
    }
  }
  /// Whether nodes get to know that the list has not changed.
  void SetStoreUp(bool aIsUp) { mIsStoreUp = aIsUp; }

  /// Most requests that one cold target got within a second.
  [[nodiscard]] std::size_t MostAtCold() const { return mMostAtCold; }
  [[nodiscard]] std::size_t Answered() const { return mAnswered; }

private:
  void Settle(ForwardRig* aRig)
  {
    for (const SendAction& send : aRig->Open()) {
      const std::string target = send.mTarget.value();
      if (!mUp[target]) {
        aRig->Break(send.mAttempt,
                    mSeen.contains(&*aRig) ? AttemptFailure::NotSent
                                           : AttemptFailure::ConnectionLost);
        continue;
      }
      const auto [entry, isNew] =
        mArrived.try_emplace({ aRig, send.mAttempt }, aRig->mNow);
      if (isNew && mCold.contains(target)) {
        CountAtCold(target);
      }
      if (aRig->mNow - entry->second >= milliseconds(5)) {
        ++mAnswered;
        aRig->Answer(send.mAttempt);
      }
    }
    if (!mUp["once-0"]) {
      mSeen.insert(aRig);
    }
  }

  void CountAtCold(const std::string& aTarget)
  {
    std::vector<Instant>& arrivals = mArrivals[aTarget];
    arrivals.push_back(mNow);
    const auto recent =
      std::count_if(arrivals.begin(), arrivals.end(), [&](Instant aArrival) {
        return mNow - aArrival <= seconds(1);
      });
    mMostAtCold = std::max(mMostAtCold, static_cast<std::size_t>(recent));
  }

  void KnowList(ForwardRig* aRig)
  {
    const std::optional<Instant> needed = aRig->mEngine.ListNeededAsOf();
    if (needed.has_value() && *needed <= aRig->mNow) {
      aRig->Take(aRig->mEngine.OnListKnown(aRig->mNow, aRig->mNow));
    }
  }

  std::deque<ForwardRig> mNodes;
  Instant mNow = kStart;
  std::size_t mNextNode = 0;
  std::map<std::string, bool> mUp{ { "once-0", true }, { "once-1", true } };
  std::set<std::string> mCold;
  /// Nodes that have lost their connections.
  std::set<const ForwardRig*> mSeen;
  bool mIsStoreUp = true;
  std::map<std::pair<const ForwardRig*, AttemptId>, Instant> mArrived;
  std::map<std::string, std::vector<Instant>> mArrivals;
  std::size_t mMostAtCold = 0;
  std::size_t mAnswered = 0;
};

} // namespace

// Guards against nodes that take a target for warm because it answers, before
// they know the entry of its new process.
TEST_CASE("A target that is back is cold until the list says otherwise")
{
  for (const std::size_t nodes : { 1, 3, 8 }) {
    for (const bool isStoreUp : { true, false }) {
      CAPTURE(nodes);
      CAPTURE(isStoreUp);
      RestartFleet fleet(nodes);
      fleet.Run(seconds(1));
      fleet.Crash();
      fleet.SetStoreUp(isStoreUp);
      fleet.Run(milliseconds(1100));
      // The first one is listed at once, the second one later, or not at all
      // while it is cold.
      fleet.ComeBack("once-0");
      fleet.ListAgain("once-0");
      fleet.Run(milliseconds(50));
      fleet.ComeBack("once-1");
      fleet.SetStoreUp(false);
      fleet.Run(isStoreUp ? milliseconds(500) : milliseconds(2500));
      fleet.ListAgain("once-1");
      fleet.SetStoreUp(isStoreUp);
      fleet.Run(milliseconds(400));
      CHECK(fleet.MostAtCold() <= kColdBound);
    }
  }
}

// Guards against a service that is held to its cold rate although nothing has
// restarted.
TEST_CASE("A target that was only out of reach is used again at once, or after "
          "its warm-up")
{
  for (const bool isStoreUp : { true, false }) {
    CAPTURE(isStoreUp);
    RestartFleet fleet(3);
    fleet.Run(seconds(1));
    const std::size_t perSecond = fleet.Answered();
    fleet.Crash();
    fleet.SetStoreUp(isStoreUp);
    fleet.Run(seconds(1));
    fleet.ComeBack("once-0");
    fleet.ComeBack("once-1");
    fleet.Run(isStoreUp ? seconds(3) : seconds(8));
    const std::size_t before = fleet.Answered();
    fleet.Run(seconds(1));
    CHECK(fleet.Answered() - before >= perSecond * 9 / 10);
  }
}

// Guards against a target that answers some requests and breaks off others and
// is held to its cold rate all the time.
TEST_CASE("A lost connection to a target that goes on answering is no restart")
{
  RestartDoubt doubt;
  Instant now = kStart;
  doubt.OnAnswered(now - milliseconds(5), now);
  SUBCASE("another request is answered soon")
  {
    doubt.OnLoss(ContactLoss::ConnectionLost, now + milliseconds(20));
    CHECK(!doubt.MayBeCold(kWarmup, now + milliseconds(20)));
    doubt.OnAnswered(now + milliseconds(25), now + milliseconds(40));
    CHECK(!doubt.Exists());
  }
  SUBCASE("a request from before the loss is answered")
  {
    for (const ContactLoss loss :
         { ContactLoss::ConnectionLost, ContactLoss::Unresponsive }) {
      doubt.OnLoss(loss, now + seconds(2));
      CHECK(doubt.MayBeCold(kWarmup, now + seconds(2)));
      doubt.OnAnswered(now + seconds(1), now + seconds(3));
      CHECK(!doubt.Exists());
    }
  }
  SUBCASE("nothing listened meanwhile")
  {
    doubt.OnLoss(ContactLoss::NotReached, now + milliseconds(20));
    doubt.OnAnswered(now + milliseconds(10), now + milliseconds(21));
    CHECK(doubt.IsUntested());
    doubt.OnAnswered(now + milliseconds(25), now + milliseconds(40));
    CHECK(!doubt.IsUntested());
    CHECK(doubt.MayBeCold(kWarmup, now + milliseconds(50)));
    CHECK(!doubt.MayBeCold(kWarmup, now + seconds(4)));
  }
}

// Guards against a doubt that an older state of the list ends.
TEST_CASE("Only a list that is later than the contact ends a doubt")
{
  RestartDoubt doubt;
  doubt.OnLoss(ContactLoss::NotReached, kStart);
  REQUIRE(doubt.ListNeededAsOf().has_value());
  doubt.OnListKnown(*doubt.ListNeededAsOf() - milliseconds(1));
  CHECK(doubt.MayBeCold(kWarmup, kStart + seconds(1)));
  doubt.OnListKnown(*doubt.ListNeededAsOf());
  CHECK(!doubt.ListNeededAsOf().has_value());
  // It may be tested, but it may also have come back since.
  CHECK(doubt.IsUntested());
  CHECK(!doubt.MayBeCold(kWarmup, kStart + seconds(1)));
  doubt.OnAnswered(kStart + seconds(1), kStart + milliseconds(1010));
  CHECK(doubt.MayBeCold(kWarmup, kStart + milliseconds(1010)));
  doubt.OnListKnown(kStart + milliseconds(1010));
  CHECK(doubt.MayBeCold(kWarmup, kStart + milliseconds(1010)));
  doubt.OnListKnown(*doubt.ListNeededAsOf());
  CHECK(!doubt.Exists());
}

} // namespace verbenachute
