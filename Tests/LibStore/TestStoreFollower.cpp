#include <LibStore/StoreFollower.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Instant kStart{ seconds(100) };

StoreItem
Item(const char* aKey, std::uint64_t aRevision)
{
  return StoreItem{ aKey, "v", StoreRevision(aRevision) };
}

StorePosition
At(std::uint64_t aRevision = 0, std::uint64_t aEra = 0)
{
  return { StoreEra(aEra), StoreRevision(aRevision) };
}

StorePage
Page(std::vector<StoreItem> aItems, std::uint64_t aAt, bool aMore = false)
{
  return StorePage{ std::move(aItems), aMore, StoreRevision(aAt) };
}

/// Returns a follower that has read all keys up to revision 10 and watches.
StoreFollower
WatchingFollower()
{
  StoreFollower follower{ StoreFollower::Settings() };
  static_cast<void>(follower.TakeDueCalls(kStart));
  static_cast<void>(follower.OnPage(Page({ Item("a", 5) }, 10), kStart));
  static_cast<void>(follower.TakeDueCalls(kStart));
  return follower;
}

template<typename Action>
const Action*
FindAction(const std::vector<FollowerCall>& aCalls)
{
  for (const FollowerCall& call : aCalls) {
    if (const Action* action = std::get_if<Action>(&call)) {
      return action;
    }
  }
  return nullptr;
}

} // namespace

TEST_CASE(
  "After all pages the watch starts at the revision of the earliest one")
{
  StoreFollower follower{ StoreFollower::Settings() };
  std::vector<FollowerCall> calls = follower.TakeDueCalls(kStart);
  REQUIRE(FindAction<ReadPageAction>(calls) != nullptr);
  CHECK(follower.OnPage(Page({ Item("a", 5) }, 10, true), kStart).empty());
  CHECK(!follower.HasCopy());
  calls = follower.TakeDueCalls(kStart);
  REQUIRE(FindAction<ReadPageAction>(calls) != nullptr);
  CHECK(FindAction<ReadPageAction>(calls)->mAfter == "a");
  CHECK(follower.OnPage(Page({ Item("b", 12) }, 12), kStart).size() == 2);
  calls = follower.TakeDueCalls(kStart);
  REQUIRE(FindAction<WatchAction>(calls) != nullptr);
  CHECK(FindAction<WatchAction>(calls)->mAfter == StoreRevision(10));
  CHECK(follower.TakeDueCalls(kStart).empty());
}

// All nodes lose power while the store does not answer. A read that is lost
// keeps them from serving until it is given up.
TEST_CASE("A node without a copy soon repeats a read that is not answered")
{
  const StoreFollower::Settings settings;
  StoreFollower follower(settings);
  follower.SetSource(UpdateSource::Store, kStart);
  Instant now = kStart;
  Duration previous{ 0 };
  for (int failures = 0; failures < 4; ++failures) {
    const std::vector<FollowerCall> calls = follower.TakeDueCalls(now);
    const ReadPageAction* read = FindAction<ReadPageAction>(calls);
    REQUIRE(read != nullptr);
    // A store that is slow, not lost, answers one of the later reads.
    CHECK(read->mTimeout >= previous);
    CHECK(read->mTimeout <= settings.mReadTimeout);
    previous = read->mTimeout;
    now += read->mTimeout;
    follower.OnFailure(StoreFailure::Unreachable, now);
    if (failures == 0) {
      // Two reads fit into the time that one took.
      CHECK(now - kStart <= settings.mReadTimeout / 2);
    }
    now += settings.mMaximumBackoff;
  }
  CHECK(previous == settings.mReadTimeout);
}

TEST_CASE("A node with a copy gives a slow read its full time")
{
  const StoreFollower::Settings settings;
  StoreFollower follower = WatchingFollower();
  follower.OnFailure(StoreFailure::HistoryCompacted, kStart);
  const std::vector<FollowerCall> calls = follower.TakeDueCalls(kStart);
  const ReadPageAction* read = FindAction<ReadPageAction>(calls);
  REQUIRE(read != nullptr);
  CHECK(read->mTimeout == settings.mReadTimeout);
}

TEST_CASE("While a call is pending a follower waits only for its result")
{
  // Guards against a due time in the past, which makes the node poll in a busy
  // loop.
  StoreFollower follower = WatchingFollower();
  CHECK(!follower.NextDueTime(kStart).has_value());
}

TEST_CASE("Changes in quick succession need only one call")
{
  StoreFollower follower = WatchingFollower();
  static_cast<void>(follower.OnChanges(
    { { StoreChange{ "a", "w", StoreRevision(11) } }, StoreRevision(11) },
    kStart));
  CHECK(follower.TakeDueCalls(kStart + milliseconds(400)).empty());
  CHECK(FindAction<WatchAction>(
          follower.TakeDueCalls(kStart + milliseconds(500))) != nullptr);
}

TEST_CASE("All keys are read again if the store has dropped the history")
{
  StoreFollower follower = WatchingFollower();
  follower.OnFailure(StoreFailure::HistoryCompacted, kStart);
  CHECK(!follower.FailingSince().has_value());
  CHECK(FindAction<ReadPageAction>(follower.TakeDueCalls(kStart)) != nullptr);
  const StoreMirror::Changes changes =
    follower.OnPage(Page({ Item("b", 30) }, 31), kStart);
  CHECK(changes.size() == 2);
}

// Guards against a node that asks for the same changes again and again while
// their number grows, and so never applies any configuration of a storm.
TEST_CASE("All keys are read again if the response to a watch is unusable")
{
  for (const StoreFailure failure :
       { StoreFailure::ResponseTooLarge, StoreFailure::ResponseInvalid }) {
    StoreFollower follower = WatchingFollower();
    follower.OnFailure(failure, kStart);
    CHECK(!follower.FailingSince().has_value());
    CHECK(FindAction<ReadPageAction>(follower.TakeDueCalls(kStart)) != nullptr);
    CHECK(follower.OnPage(Page({ Item("a", 30) }, 31), kStart).size() == 1);
    CHECK(FindAction<WatchAction>(follower.TakeDueCalls(kStart)) != nullptr);
    // A watch that fails so each time does not make it read without a pause.
    follower.OnFailure(failure, kStart + milliseconds(10));
    CHECK(follower.TakeDueCalls(kStart + milliseconds(10)).empty());
    CHECK(FindAction<ReadPageAction>(
            follower.TakeDueCalls(kStart + milliseconds(500))) != nullptr);
  }
}

TEST_CASE("A read that gets an unusable response counts as a failure")
{
  StoreFollower follower{ StoreFollower::Settings() };
  static_cast<void>(follower.TakeDueCalls(kStart));
  follower.OnFailure(StoreFailure::ResponseTooLarge, kStart);
  CHECK(follower.FailingSince() == kStart);
  CHECK(FindAction<ReadPageAction>(follower.TakeDueCalls(kStart)) == nullptr);
}

TEST_CASE("Calls to a failing store back off, and peers are called")
{
  StoreFollower follower = WatchingFollower();
  Instant now = kStart;
  int calls = 0;
  follower.OnFailure(StoreFailure::Unreachable, now);
  follower.OnPeerPosition(At(50));
  bool peerAsked = false;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    const std::vector<FollowerCall> due = follower.TakeDueCalls(now);
    if (FindAction<WatchAction>(due) != nullptr) {
      ++calls;
      follower.OnFailure(StoreFailure::Refused, now);
    }
    if (FindAction<FetchFromPeerAction>(due) != nullptr) {
      peerAsked = true;
      follower.OnPeerFailure(now);
    }
  }
  CHECK(peerAsked);
  CHECK(calls >= 5);
  CHECK(calls <= 20);
  CHECK(follower.FailingSince() == kStart);
}

TEST_CASE("A peer's copy is used during an outage of the store")
{
  StoreFollower follower{ StoreFollower::Settings() };
  static_cast<void>(follower.TakeDueCalls(kStart));
  follower.OnFailure(StoreFailure::Unreachable, kStart);
  CHECK(FindAction<FetchFromPeerAction>(
          follower.TakeDueCalls(kStart + milliseconds(10))) != nullptr);
  CHECK(follower.OnPeerCopy({ Item("a", 5) }, At(9), kStart).size() == 1);
  CHECK(follower.HasCopy());
  const std::vector<FollowerCall> calls =
    follower.TakeDueCalls(kStart + seconds(3));
  REQUIRE(FindAction<WatchAction>(calls) != nullptr);
  CHECK(FindAction<WatchAction>(calls)->mAfter == StoreRevision(9));
  SUBCASE("an older copy is ignored")
  {
    CHECK(follower.OnPeerCopy({}, At(8), kStart).empty());
    CHECK(follower.Mirror().size() == 1);
  }
  SUBCASE("the end of the outage is recorded")
  {
    static_cast<void>(
      follower.OnChanges({ {}, StoreRevision(9) }, kStart + seconds(4)));
    CHECK(!follower.FailingSince().has_value());
    CHECK(follower.RestoredAt() == kStart + seconds(4));
  }
}

TEST_CASE("In a large fleet a node fetches updates from peers, not the store")
{
  // As in a fleet of 83 nodes that reads 15 pages of keys and runs for 44 s.
  StoreFollower follower{ StoreFollower::Settings() };
  Instant now = kStart;
  for (int page = 0; page < 4; ++page) {
    REQUIRE(FindAction<ReadPageAction>(follower.TakeDueCalls(now)) != nullptr);
    static_cast<void>(follower.OnPage(Page({ Item("a", 5) }, 10, true), now));
  }
  CHECK(follower.TakeDueCalls(now).empty());
  CHECK(!follower.NextDueTime(now).has_value());
  follower.SetSource(UpdateSource::Peers, now);
  follower.OnPeerPosition(At(10));
  CHECK(FindAction<FetchFromPeerAction>(follower.TakeDueCalls(now)) != nullptr);
  CHECK(follower.OnPeerCopy({ Item("a", 5) }, At(10), now).size() == 1);
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(500);
    CHECK(follower.TakeDueCalls(now).empty());
  }
  follower.OnPeerPosition(At(12));
  CHECK(FindAction<FetchFromPeerAction>(follower.TakeDueCalls(now)) != nullptr);
  CHECK(follower
          .OnPeerChanges({ { StoreChange{ "a", "w", StoreRevision(12) } },
                           StoreRevision(12) },
                         now)
          .size() == 1);
  SUBCASE("it watches once the store becomes its source")
  {
    follower.SetSource(UpdateSource::Store, now);
    const std::vector<FollowerCall> calls = follower.TakeDueCalls(now);
    REQUIRE(FindAction<WatchAction>(calls) != nullptr);
    CHECK(FindAction<WatchAction>(calls)->mAfter == StoreRevision(12));
  }
}

TEST_CASE("Without peers a node reads the store after a time-out")
{
  for (const UpdateSource source :
       { UpdateSource::Undecided, UpdateSource::Peers }) {
    StoreFollower follower{ StoreFollower::Settings() };
    follower.SetSource(source, kStart);
    for (int page = 0; page < 4; ++page) {
      if (FindAction<ReadPageAction>(follower.TakeDueCalls(kStart)) !=
          nullptr) {
        static_cast<void>(
          follower.OnPage(Page({ Item("a", 5) }, 10, true), kStart));
      }
    }
    follower.OnPeerFailure(kStart);
    CHECK(FindAction<ReadPageAction>(
            follower.TakeDueCalls(kStart + milliseconds(900))) == nullptr);
    follower.OnPeerFailure(kStart + milliseconds(900));
    CHECK(FindAction<ReadPageAction>(
            follower.TakeDueCalls(kStart + seconds(2))) != nullptr);
  }
}

TEST_CASE("A failing store and up-to-date peers cause no busy loop")
{
  StoreFollower follower = WatchingFollower();
  follower.OnFailure(StoreFailure::Unreachable, kStart);
  const std::optional<Instant> next = follower.NextDueTime(kStart);
  REQUIRE(next.has_value());
  CHECK(*next > kStart);
}

TEST_CASE("A peer without newer changes is not called")
{
  StoreFollower follower = WatchingFollower();
  follower.OnFailure(StoreFailure::Unreachable, kStart);
  follower.OnPeerPosition(At(10));
  CHECK(FindAction<FetchFromPeerAction>(
          follower.TakeDueCalls(kStart + seconds(9))) == nullptr);
}

TEST_CASE("A watch that the store has silently lost is detected")
{
  // After an outage of 2.9 s the store never answered the watches from before
  // it, so two nodes missed a plan for 22 s (soak, seed 121).
  StoreFollower follower = WatchingFollower();
  follower.SetSource(UpdateSource::Store, kStart);
  Instant now = kStart + seconds(3);
  REQUIRE(FindAction<ProbeAction>(follower.TakeDueCalls(now)) != nullptr);
  SUBCASE("a probe reports a revision that the watch does not")
  {
    follower.OnProbe(At(11), now);
    CHECK(follower.TakeDueCalls(now).empty());
    CHECK(follower.TakeDueCalls(now + milliseconds(700)).empty());
    now += milliseconds(800);
    REQUIRE(follower.NextDueTime(now).has_value());
    CHECK(*follower.NextDueTime(now) <= now);
    // A new watch would not report it either while the store loses all watches
    // (scale-1 of vialtec-busqueda, CONFIG), so the keys are read.
    REQUIRE(FindAction<ReadPageAction>(follower.TakeDueCalls(now)) != nullptr);
    CHECK(follower.TakeDueCalls(now).empty());
  }
  SUBCASE("a peer reports a revision that the watch does not")
  {
    // The store may answer probes from a state that is seconds old.
    follower.OnProbe(At(8), now);
    follower.OnPeerPosition(At(11));
    CHECK(follower.TakeDueCalls(now).empty());
    now += milliseconds(800);
    REQUIRE(FindAction<ReadPageAction>(follower.TakeDueCalls(now)) != nullptr);
    static_cast<void>(follower.OnPage(Page({ Item("a", 5) }, 10), now));
    REQUIRE(FindAction<WatchAction>(follower.TakeDueCalls(now)) != nullptr);
    // The peer was wrong. This must not cause repeated reads of the store.
    CHECK(FindAction<ReadPageAction>(follower.TakeDueCalls(now + seconds(2))) ==
          nullptr);
  }
  SUBCASE("the watch reports the revision in time")
  {
    follower.OnProbe(At(11), now);
    now += milliseconds(100);
    CHECK(follower
            .OnChanges({ { StoreChange{ "a", "2", StoreRevision(11) } },
                         StoreRevision(11) },
                       now)
            .size() == 1);
    now += milliseconds(500);
    CHECK(FindAction<WatchAction>(follower.TakeDueCalls(now)) != nullptr);
    CHECK(follower.TakeDueCalls(now + seconds(1)).empty());
  }
  SUBCASE("the probe fails during an outage")
  {
    follower.OnProbeFailure(now);
    CHECK(follower.FailingSince().has_value());
    now += seconds(3);
    REQUIRE(FindAction<ProbeAction>(follower.TakeDueCalls(now)) != nullptr);
    follower.OnProbe(At(10), now);
    CHECK(!follower.FailingSince().has_value());
    CHECK(follower.RestoredAt() == now);
    CHECK(FindAction<WatchAction>(follower.TakeDueCalls(now)) != nullptr);
  }
  SUBCASE("nothing has changed")
  {
    follower.OnProbe(At(10), now);
    CHECK(follower.TakeDueCalls(now + seconds(1)).empty());
    CHECK(FindAction<ProbeAction>(follower.TakeDueCalls(now + seconds(3))) !=
          nullptr);
  }
}

TEST_CASE("A watch that began after an outage is kept after the first probe")
{
  StoreFollower follower = WatchingFollower();
  follower.SetSource(UpdateSource::Store, kStart);
  follower.OnFailure(StoreFailure::Refused, kStart + seconds(1));
  Instant now = kStart + seconds(3);
  REQUIRE(FindAction<WatchAction>(follower.TakeDueCalls(now)) != nullptr);
  now += seconds(3);
  REQUIRE(FindAction<ProbeAction>(follower.TakeDueCalls(now)) != nullptr);
  follower.OnProbe(At(10), now);
  CHECK(!follower.FailingSince().has_value());
  CHECK(follower.TakeDueCalls(now + seconds(1)).empty());
}

// Guards against nodes that stay on an old configuration: the store has lost a
// watch that was asked during the outage, and never answers it (review/13).
TEST_CASE("A watch that follows a failure is short until the store responds")
{
  for (const StoreFailure failure :
       { StoreFailure::Unreachable, StoreFailure::Refused }) {
    StoreFollower follower = WatchingFollower();
    follower.SetSource(UpdateSource::Store, kStart);
    follower.OnFailure(failure, kStart);
    Instant now = kStart + seconds(1);
    std::vector<FollowerCall> calls = follower.TakeDueCalls(now);
    const WatchAction* watch = FindAction<WatchAction>(calls);
    REQUIRE(watch != nullptr);
    CHECK(watch->mWait <= milliseconds(100));
    CHECK(watch->mTimeout <= milliseconds(1600));
    now += watch->mWait;
    static_cast<void>(follower.OnChanges({ {}, StoreRevision(10) }, now));
    calls = follower.TakeDueCalls(now);
    watch = FindAction<WatchAction>(calls);
    REQUIRE(watch != nullptr);
    CHECK(watch->mWait == StoreFollower::Settings().mWatchTimeout);
  }
}

// Guards against a lost watch that is kept since the outage had begun before
// it, with calls that were refused.
TEST_CASE("A watch is asked anew if probes have failed meanwhile")
{
  StoreFollower follower = WatchingFollower();
  follower.SetSource(UpdateSource::Store, kStart);
  follower.OnFailure(StoreFailure::Refused, kStart);
  Instant now = kStart + seconds(1);
  REQUIRE(FindAction<WatchAction>(follower.TakeDueCalls(now)) != nullptr);
  for (int failures = 0; failures < 2; ++failures) {
    now += seconds(3);
    REQUIRE(FindAction<ProbeAction>(follower.TakeDueCalls(now)) != nullptr);
    follower.OnProbeFailure(now);
  }
  now += seconds(3);
  REQUIRE(FindAction<ProbeAction>(follower.TakeDueCalls(now)) != nullptr);
  follower.OnProbe(At(10), now);
  const std::vector<FollowerCall> calls = follower.TakeDueCalls(now);
  REQUIRE(FindAction<WatchAction>(calls) != nullptr);
  CHECK(FindAction<WatchAction>(calls)->mWait <= milliseconds(100));
}

// Guards against a lost watch that no probe reveals since reads of the store
// are seconds old.
TEST_CASE("The latest revision is probed if a probe lags behind the mirror")
{
  StoreFollower follower = WatchingFollower();
  follower.SetSource(UpdateSource::Store, kStart);
  Instant now = kStart + seconds(3);
  REQUIRE(FindAction<ProbeAction>(follower.TakeDueCalls(now)) != nullptr);
  follower.OnProbe(At(9), now);
  now += milliseconds(250);
  const std::vector<FollowerCall> calls = follower.TakeDueCalls(now);
  const ProbeAction* probe = FindAction<ProbeAction>(calls);
  REQUIRE(probe != nullptr);
  CHECK(probe->mConsistency == ReadConsistency::Latest);
  SUBCASE("the mirror has all changes")
  {
    follower.OnProbe(At(10), now);
    CHECK(follower.TakeDueCalls(now + seconds(1)).empty());
  }
  SUBCASE("the watch has missed one")
  {
    follower.OnProbe(At(11), now);
    static_cast<void>(follower.TakeDueCalls(now));
    CHECK(FindAction<ReadPageAction>(
            follower.TakeDueCalls(now + milliseconds(800))) != nullptr);
  }
}

// Guards against removals that are held back as in an outage, although the
// store has only closed a watch, as it may at any time (review/15).
TEST_CASE("A watch that the store closes is asked anew at once, without outage")
{
  StoreFollower follower = WatchingFollower();
  follower.SetSource(UpdateSource::Store, kStart);
  const Instant now = kStart + seconds(1);
  follower.OnFailure(StoreFailure::ConnectionClosed, now);
  CHECK(!follower.FailingSince().has_value());
  const std::vector<FollowerCall> calls = follower.TakeDueCalls(now);
  const WatchAction* watch = FindAction<WatchAction>(calls);
  REQUIRE(watch != nullptr);
  CHECK(watch->mWait <= milliseconds(100));
  SUBCASE("the store responds")
  {
    static_cast<void>(follower.OnChanges({ {}, StoreRevision(10) }, now));
    CHECK(!follower.FailingSince().has_value());
    CHECK(!follower.RestoredAt().has_value());
  }
  SUBCASE("an outage has begun with the close")
  {
    follower.OnFailure(StoreFailure::Unreachable, now + watch->mTimeout);
    CHECK(follower.FailingSince() == now);
  }
  SUBCASE("the store closes the next watch as well")
  {
    follower.OnFailure(StoreFailure::ConnectionClosed, now);
    CHECK(follower.FailingSince() == now);
    CHECK(follower.TakeDueCalls(now).empty());
  }
}

TEST_CASE("A store that closes each long watch gets few calls")
{
  StoreFollower follower = WatchingFollower();
  follower.SetSource(UpdateSource::Store, kStart);
  follower.OnFailure(StoreFailure::ConnectionClosed, kStart);
  int calls = 0;
  for (Instant now = kStart; now < kStart + seconds(10);
       now += milliseconds(10)) {
    for (const FollowerCall& call : follower.TakeDueCalls(now)) {
      ++calls;
      const WatchAction* watch = std::get_if<WatchAction>(&call);
      if (watch == nullptr) {
        follower.OnProbe(At(10), now);
      } else if (watch->mWait > seconds(1)) {
        follower.OnFailure(StoreFailure::ConnectionClosed, now);
      } else {
        static_cast<void>(follower.OnChanges({ {}, StoreRevision(10) }, now));
      }
    }
    REQUIRE(!follower.FailingSince().has_value());
  }
  CHECK(calls >= 20);
  CHECK(calls <= 45);
}

// Guards against targets that are lost since the end of an outage that no probe
// has met yet counts as the end of a watch.
TEST_CASE("A watch that closes after a silence of the store counts as outage")
{
  StoreFollower follower = WatchingFollower();
  follower.SetSource(UpdateSource::Store, kStart);
  Instant now = kStart + seconds(2);
  REQUIRE(FindAction<ProbeAction>(follower.TakeDueCalls(now)) != nullptr);
  now += milliseconds(1400);
  follower.OnFailure(StoreFailure::ConnectionClosed, now);
  CHECK(follower.FailingSince() == now);
}

// Guards against removals that are held back too long since the end of an
// outage was noticed late.
TEST_CASE("The end of an outage is noticed within 1.5 s")
{
  constexpr Duration kStep = milliseconds(5);
  for (Duration length = seconds(2); length < seconds(8);
       length += milliseconds(50)) {
    CAPTURE(length.count());
    StoreFollower follower = WatchingFollower();
    follower.SetSource(UpdateSource::Store, kStart);
    follower.OnFailure(StoreFailure::ConnectionClosed, kStart);
    const Instant end = kStart + length;
    std::optional<Instant> fails;
    std::optional<Instant> responds;
    for (Instant now = kStart; !follower.RestoredAt().has_value();
         now += kStep) {
      REQUIRE(now < end + milliseconds(1500));
      if (fails.has_value() && *fails <= now) {
        fails.reset();
        follower.OnFailure(StoreFailure::Unreachable, now);
      }
      if (responds.has_value() && *responds <= now) {
        static_cast<void>(follower.OnChanges({ {}, StoreRevision(10) }, now));
      }
      const std::vector<FollowerCall> calls = follower.TakeDueCalls(now);
      if (const WatchAction* watch = FindAction<WatchAction>(calls)) {
        (now < end ? fails : responds) =
          now + (now < end ? watch->mTimeout : watch->mWait);
      }
    }
  }
}

// Guards against a list that counts as current although changes are under way.
TEST_CASE(
  "The mirror is known as of a time only once it has what a read of the "
  "latest revision names")
{
  StoreFollower follower = WatchingFollower();
  follower.SetSource(UpdateSource::Store, kStart);
  const Instant wanted = kStart + milliseconds(300);
  CHECK(follower.KnownAsOf() < wanted);
  follower.RequestKnownAsOf(wanted);
  CHECK(follower.TakeDueCalls(kStart + milliseconds(299)).empty());
  const std::vector<FollowerCall> calls = follower.TakeDueCalls(wanted);
  REQUIRE(FindAction<ProbeAction>(calls) != nullptr);
  CHECK(FindAction<ProbeAction>(calls)->mConsistency ==
        ReadConsistency::Latest);
  const Instant answered = wanted + milliseconds(5);
  SUBCASE("nothing has changed")
  {
    follower.OnProbe(At(10), answered);
    CHECK(follower.KnownAsOf() == wanted);
    const std::optional<Instant> next = follower.NextDueTime(answered);
    CHECK(next.value_or(Instant::max()) > wanted + seconds(1));
  }
  SUBCASE("a change is under way")
  {
    follower.OnProbe(At(11), answered);
    CHECK(follower.KnownAsOf() < wanted);
    static_cast<void>(follower.OnChanges(
      { { StoreChange{ "a", "w", StoreRevision(11) } }, StoreRevision(11) },
      answered + milliseconds(5)));
    CHECK(follower.KnownAsOf() == wanted);
  }
  SUBCASE("the store does not respond")
  {
    follower.OnProbeFailure(answered);
    CHECK(follower.KnownAsOf() < wanted);
    CHECK(follower.TakeDueCalls(answered).empty());
    CHECK(FindAction<ProbeAction>(
            follower.TakeDueCalls(wanted + milliseconds(250))) != nullptr);
  }
  SUBCASE("the store has no key to probe")
  {
    follower.OnProbe(At(), answered);
    CHECK(follower.KnownAsOf() < wanted);
  }
}

} // namespace verbenachute
