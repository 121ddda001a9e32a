#include <LibStore/StoreFollower.h>
#include <LibStore/StoreUpdateCache.h>
#include <LibStore/StoreUpdateCodec.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Instant kStart{ seconds(100) };

StoreItem
Item(const char* aKey, const char* aValue, std::uint64_t aRevision)
{
  return StoreItem{ aKey, aValue, StoreRevision(aRevision) };
}

StorePosition
At(std::uint64_t aEra, std::uint64_t aRevision)
{
  return { StoreEra(aEra), StoreRevision(aRevision) };
}

StorePage
Page(std::vector<StoreItem> aItems, StorePosition aAt, bool aMore = false)
{
  return StorePage{ std::move(aItems), aMore, aAt.mRevision, aAt.mEra };
}

StoreChanges
Put(const char* aKey, const char* aValue, StorePosition aAt)
{
  return StoreChanges{ { StoreChange{ aKey, aValue, aAt.mRevision } },
                       aAt.mRevision,
                       aAt.mEra };
}

template<typename Action>
const Action*
Find(const std::vector<FollowerCall>& aCalls)
{
  for (const FollowerCall& call : aCalls) {
    if (const Action* action = std::get_if<Action>(&call)) {
      return action;
    }
  }
  return nullptr;
}

/// A follower of the store that watches after revision 80 of era 0.
StoreFollower
Watching()
{
  StoreFollower follower{ StoreFollower::Settings() };
  follower.SetSource(UpdateSource::Store, kStart);
  static_cast<void>(follower.TakeDueCalls(kStart));
  static_cast<void>(
    follower.OnPage(Page({ Item("a", "late", 80) }, At(0, 80)), kStart));
  REQUIRE(Find<WatchAction>(follower.TakeDueCalls(kStart)) != nullptr);
  return follower;
}

} // namespace

// Guards against keys of the lost seconds that survive the restore, and against
// a revision that is handed out twice and passes for the one known before.
TEST_CASE("A copy of a higher era replaces everything")
{
  StoreMirror mirror;
  static_cast<void>(mirror.Replace(
    { Item("lost", "1", 90), Item("same", "1", 40), Item("reused", "old", 60) },
    At(0, 90)));
  const StoreMirror::Changes changes = mirror.Replace(
    { Item("same", "1", 40), Item("reused", "new", 60) }, At(1, 60));
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].mValue == "new");
  CHECK(changes[1] == StoreChange{ "lost",
                                   std::nullopt,
                                   StoreRevision(60),
                                   ChangeCause::LostByRestore });
  CHECK(mirror.Position() == At(1, 60));
  CHECK(mirror.Apply(Put("same", "old era", At(0, 99))).empty());
  CHECK(mirror.Apply(Put("same", "skipped copy", At(2, 99))).empty());
  CHECK(mirror.Replace({}, At(0, 99)).empty());
  CHECK(mirror.Apply(Put("same", "2", At(1, 61))).size() == 1);
  CHECK(!mirror.ChangesSince(StoreRevision(59)).has_value());
}

TEST_CASE("A reading of pages starts again if the era rises in the middle")
{
  StoreFollower follower{ StoreFollower::Settings() };
  static_cast<void>(follower.TakeDueCalls(kStart));
  CHECK(follower.OnPage(Page({ Item("a", "1", 80) }, At(0, 80), true), kStart)
          .empty());
  static_cast<void>(follower.TakeDueCalls(kStart));
  CHECK(
    follower.OnPage(Page({ Item("z", "1", 50) }, At(1, 50)), kStart).empty());
  CHECK(!follower.HasCopy());
  std::vector<FollowerCall> calls = follower.TakeDueCalls(kStart);
  REQUIRE(Find<ReadPageAction>(calls) != nullptr);
  CHECK(Find<ReadPageAction>(calls)->mAfter.empty());
  CHECK(
    follower.OnPage(Page({ Item("b", "1", 50) }, At(1, 50)), kStart).size() ==
    1);
  calls = follower.TakeDueCalls(kStart);
  REQUIRE(Find<WatchAction>(calls) != nullptr);
  CHECK(Find<WatchAction>(calls)->mAfter == StoreRevision(50));
}

// The write's response reports the era while the second page is on its way; the
// page must not count as the first one of the new reading.
TEST_CASE("A page that continues a reading from before the rise is discarded")
{
  StoreFollower follower{ StoreFollower::Settings() };
  static_cast<void>(follower.TakeDueCalls(kStart));
  static_cast<void>(
    follower.OnPage(Page({ Item("m", "1", 5) }, At(0, 80), true), kStart));
  static_cast<void>(follower.TakeDueCalls(kStart));
  follower.OnEra(StoreEra(1), kStart);
  CHECK(
    follower.OnPage(Page({ Item("z", "1", 50) }, At(1, 50)), kStart).empty());
  CHECK(!follower.HasCopy());
  const std::vector<FollowerCall> calls = follower.TakeDueCalls(kStart);
  REQUIRE(Find<ReadPageAction>(calls) != nullptr);
  CHECK(Find<ReadPageAction>(calls)->mAfter.empty());
}

TEST_CASE("Any response of a higher era makes the node read all keys again")
{
  using Report = void (*)(StoreFollower*);
  const Report reports[] = {
    [](StoreFollower* aFollower) {
      CHECK(aFollower->OnChanges(Put("b", "1", At(1, 81)), kStart).empty());
    },
    [](StoreFollower* aFollower) { aFollower->OnProbe(At(1, 70), kStart); },
    [](StoreFollower* aFollower) { aFollower->OnEra(StoreEra(1), kStart); },
  };
  for (const Report report : reports) {
    StoreFollower follower = Watching();
    report(&follower);
    CHECK(Find<ReadPageAction>(follower.TakeDueCalls(kStart)) != nullptr);
    // The watch in flight was abandoned; its response comes late.
    CHECK(follower.OnChanges(Put("a", "later", At(0, 82)), kStart).empty());
    CHECK(follower.OnPage(Page({}, At(1, 60)), kStart).size() == 1);
    CHECK(follower.Mirror().Position() == At(1, 60));
    CHECK(follower.RestoredAt() == kStart);
  }
}

TEST_CASE("A late response of a lower era changes nothing")
{
  StoreFollower follower = Watching();
  follower.OnEra(StoreEra(1), kStart);
  static_cast<void>(follower.TakeDueCalls(kStart));
  CHECK(follower.OnPage(Page({}, At(0, 99)), kStart).empty());
  CHECK(follower.Mirror().size() == 1);
  follower.OnProbe(At(0, 99), kStart);
  CHECK(follower.Era() == StoreEra(1));
}

TEST_CASE("Peers of another era give a complete copy or nothing")
{
  StoreFollower follower = Watching();
  follower.OnFailure(StoreFailure::Unreachable, kStart);
  follower.OnPeerPosition(At(1, 60));
  const std::vector<FollowerCall> calls = follower.TakeDueCalls(kStart);
  REQUIRE(Find<FetchFromPeerAction>(calls) != nullptr);
  CHECK(Find<FetchFromPeerAction>(calls)->mNewerThan == At(0, 80));
  CHECK(follower.OnPeerChanges(Put("b", "1", At(1, 60)), kStart).empty());
  CHECK(follower.OnPeerCopy({ Item("b", "1", 60) }, At(1, 60), kStart).size() ==
        2);
  CHECK(follower.OnPeerCopy({}, At(0, 99), kStart).empty());
  CHECK(follower.OnPeerChanges(Put("b", "2", At(0, 99)), kStart).empty());
  CHECK(follower.Mirror().Items() == std::vector{ Item("b", "1", 60) });
}

TEST_CASE("Updates carry the era only if it is not 0")
{
  for (const std::uint64_t era : { 0, 3 }) {
    const StoreChanges changes = Put("a", "1", At(era, 7));
    const Result<StoreUpdate> decoded =
      DecodeStoreUpdate(EncodeStoreUpdate(changes));
    REQUIRE(!IsError(decoded));
    CHECK(std::get<StoreChanges>(ValueOf(decoded)).Position() == At(era, 7));
    const StorePage page = Page({ Item("a", "1", 7) }, At(era, 9));
    const Result<StoreUpdate> copy = DecodeStoreUpdate(EncodeStoreUpdate(page));
    REQUIRE(!IsError(copy));
    CHECK(std::get<StorePage>(ValueOf(copy)).Position() == At(era, 9));
  }
}

TEST_CASE("A peer of another era gets a complete copy instead of changes")
{
  StoreMirror mirror;
  static_cast<void>(mirror.Replace({ Item("a", "1", 50) }, At(1, 50)));
  StoreUpdateCache cache;
  for (const StorePosition after : { At(0, 50), At(2, 50), At(1, 49) }) {
    const Result<StoreUpdate> update =
      DecodeStoreUpdate(cache.Changes(mirror, after, kStart));
    REQUIRE(!IsError(update));
    CHECK(std::holds_alternative<StorePage>(ValueOf(update)));
  }
  const Result<StoreUpdate> update =
    DecodeStoreUpdate(cache.Changes(mirror, At(1, 50), kStart));
  CHECK(std::holds_alternative<StoreChanges>(ValueOf(update)));
}

} // namespace verbenachute
