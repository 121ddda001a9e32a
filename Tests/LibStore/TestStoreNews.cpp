#include <LibStore/StoreNewsCodec.h>
#include <LibStore/StoreNewsShelf.h>

#include <doctest/doctest.h>
#include <random>

namespace verbenachute {

namespace {

constexpr Instant kNow(seconds(100));

StoreItem
Item(const std::string& aKey, const std::string& aValue, std::uint64_t aAt)
{
  return StoreItem{ aKey, aValue, StoreRevision(aAt) };
}

/// A configuration of many routes, as operators write it.
std::string
Configuration(int aRoutes)
{
  std::string text = "{";
  for (int i = 0; i < aRoutes; ++i) {
    text += "\"r-" + std::to_string(i) +
            "\":{\"Host\":\"h.example\",\"PathPrefix\":\"/p" +
            std::to_string(i) + "/\",\"RouteKind\":\"safe\"},";
  }
  return text + "}";
}

StorePage
PageOf(const std::string& aBytes)
{
  const Result<StoreNews> news = DecodeStoreNews(aBytes);
  REQUIRE(!IsError(news));
  return std::get<StorePage>(ValueOf(news));
}

StoreChanges
ChangesOf(const std::string& aBytes)
{
  const Result<StoreNews> news = DecodeStoreNews(aBytes);
  REQUIRE(!IsError(news));
  return std::get<StoreChanges>(ValueOf(news));
}

} // namespace

TEST_CASE("A copy that a node gives another comes back the same")
{
  StorePage page;
  page.mItems = { Item("a", std::string("\0\xff", 2), 7), Item("b", "", 8) };
  page.mAt = StoreRevision(9);
  const StorePage read = PageOf(EncodeStoreNews(page));
  CHECK(read.mItems == page.mItems);
  CHECK(read.mAt == page.mAt);
}

TEST_CASE("Changes come back the same, and a removal is no empty value")
{
  StoreChanges changes;
  changes.mChanges = { { "a", "", StoreRevision(3) },
                       { "b", std::nullopt, StoreRevision(4) } };
  changes.mAt = StoreRevision(5);
  const StoreChanges read = ChangesOf(EncodeStoreNews(changes));
  CHECK(read.mChanges == changes.mChanges);
  CHECK(read.mAt == changes.mAt);
}

TEST_CASE("Cut, changed and hostile news is refused or read, never more")
{
  StorePage page;
  page.mItems = { Item("a", Configuration(20), 7) };
  const std::string whole = EncodeStoreNews(page);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK(IsError(DecodeStoreNews(std::string_view(whole).substr(0, size))));
  }
  CHECK(IsError(DecodeStoreNews(whole + "more")));
  std::mt19937 random(3);
  for (int i = 0; i < 3000; ++i) {
    std::string changed = whole;
    changed[random() % changed.size()] = static_cast<char>(random());
    static_cast<void>(DecodeStoreNews(changed));
  }
  // 40 MiB that compress to a few dozen KiB.
  StorePage large;
  large.mItems = { Item("a", std::string(40UL * 1024 * 1024, 'a'), 7) };
  CHECK(IsError(DecodeStoreNews(EncodeStoreNews(large))));
}

TEST_CASE("A configuration of many routes crosses in a tenth of its bytes")
{
  // The pattern of big_config in a large fleet: the configuration grows by
  // 1,400 routes, and 294 nodes fetch it from four over links of 52 Mbit/s.
  const std::string configuration = Configuration(1400);
  StoreChanges changes;
  changes.mChanges = { { "op/config", configuration, StoreRevision(3) } };
  CHECK(EncodeStoreNews(changes).size() * 10 < configuration.size());
}

TEST_CASE("News is encoded once for all peers that ask at the same revision")
{
  StoreMirror mirror;
  static_cast<void>(mirror.Replace({ Item("a", "1", 2) }, StoreRevision(2)));
  StoreNewsShelf shelf;
  const std::string* first = &shelf.Copy(mirror, kNow);
  CHECK(PageOf(*first).mItems.size() == 1);
  CHECK(&shelf.Copy(mirror, kNow) == first);
  static_cast<void>(mirror.Apply(
    StoreChanges{ { { "b", "2", StoreRevision(3) } }, StoreRevision(3) }));
  CHECK(PageOf(shelf.Copy(mirror, kNow)).mItems.size() == 2);
  const std::string& changes = shelf.Changes(mirror, StoreRevision(2), kNow);
  REQUIRE(ChangesOf(changes).mChanges.size() == 1);
  CHECK(&shelf.Changes(mirror, StoreRevision(2), kNow) == &changes);
  shelf.OnTime(kNow + seconds(3));
  CHECK(ChangesOf(shelf.Changes(mirror, StoreRevision(2), kNow)).mAt ==
        StoreRevision(3));
}

TEST_CASE("The shelf is bounded, and answers with a copy beyond its memory")
{
  StoreMirror mirror;
  static_cast<void>(mirror.Replace({ Item("a", "1", 50) }, StoreRevision(50)));
  StoreNewsShelf shelf;
  CHECK(PageOf(shelf.Changes(mirror, StoreRevision(4), kNow)).mAt ==
        StoreRevision(50));
  for (std::uint64_t i = 0; i < 40; ++i) {
    static_cast<void>(mirror.Apply(StoreChanges{
      { { "b", "2", StoreRevision(51 + i) } }, StoreRevision(51 + i) }));
  }
  for (std::uint64_t i = 50; i < 90; ++i) {
    CHECK(ChangesOf(shelf.Changes(mirror, StoreRevision(i), kNow)).mAt ==
          StoreRevision(90));
  }
}

} // namespace verbenachute
