#include <LibStore/StoreUpdateCache.h>
#include <LibStore/StoreUpdateCodec.h>

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

/// A configuration with many routes in the format that operators write.
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
  const Result<StoreUpdate> update = DecodeStoreUpdate(aBytes);
  REQUIRE(!IsError(update));
  return std::get<StorePage>(ValueOf(update));
}

StoreChanges
ChangesOf(const std::string& aBytes)
{
  const Result<StoreUpdate> update = DecodeStoreUpdate(aBytes);
  REQUIRE(!IsError(update));
  return std::get<StoreChanges>(ValueOf(update));
}

} // namespace

TEST_CASE("A copy is unchanged by encoding and decoding")
{
  StorePage page;
  page.mItems = { Item("a", std::string("\0\xff", 2), 7), Item("b", "", 8) };
  page.mStoreRevision = StoreRevision(9);
  const StorePage decoded = PageOf(EncodeStoreUpdate(page));
  CHECK(decoded.mItems == page.mItems);
  CHECK(decoded.mStoreRevision == page.mStoreRevision);
}

TEST_CASE(
  "Changes are unchanged by encoding and decoding, and a removal differs "
  "from an empty value")
{
  StoreChanges changes;
  changes.mChanges = { { "a", "", StoreRevision(3) },
                       { "b", std::nullopt, StoreRevision(4) } };
  changes.mStoreRevision = StoreRevision(5);
  const StoreChanges decoded = ChangesOf(EncodeStoreUpdate(changes));
  CHECK(decoded.mChanges == changes.mChanges);
  CHECK(decoded.mStoreRevision == changes.mStoreRevision);
}

TEST_CASE(
  "Truncated and oversized updates are refused, corrupted ones do no harm")
{
  StorePage page;
  page.mItems = { Item("a", Configuration(20), 7) };
  const std::string encoded = EncodeStoreUpdate(page);
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    CHECK(
      IsError(DecodeStoreUpdate(std::string_view(encoded).substr(0, size))));
  }
  CHECK(IsError(DecodeStoreUpdate(encoded + "more")));
  std::mt19937 random(3);
  for (int i = 0; i < 3000; ++i) {
    std::string corrupted = encoded;
    corrupted[random() % corrupted.size()] = static_cast<char>(random());
    static_cast<void>(DecodeStoreUpdate(corrupted));
  }
  // 40 MiB, which compress to a few dozen KiB.
  StorePage large;
  large.mItems = { Item("a", std::string(40UL * 1024 * 1024, 'a'), 7) };
  CHECK(IsError(DecodeStoreUpdate(EncodeStoreUpdate(large))));
}

TEST_CASE("A configuration of many routes is compressed to a tenth of its size")
{
  // As in the scenario big_config of a large fleet: the configuration grows by
  // 1,400 routes, and 294 nodes fetch it from four nodes over links of
  // 52 Mbit/s.
  const std::string configuration = Configuration(1400);
  StoreChanges changes;
  changes.mChanges = { { "op/config", configuration, StoreRevision(3) } };
  CHECK(EncodeStoreUpdate(changes).size() * 10 < configuration.size());
}

TEST_CASE("An update is encoded once for all peers at the same revision")
{
  StoreMirror mirror;
  static_cast<void>(mirror.Replace({ Item("a", "1", 2) }, StoreRevision(2)));
  StoreUpdateCache cache;
  const std::string* first = &cache.Copy(mirror, kNow);
  CHECK(PageOf(*first).mItems.size() == 1);
  CHECK(&cache.Copy(mirror, kNow) == first);
  static_cast<void>(mirror.Apply(
    StoreChanges{ { { "b", "2", StoreRevision(3) } }, StoreRevision(3) }));
  CHECK(PageOf(cache.Copy(mirror, kNow)).mItems.size() == 2);
  const std::string& changes =
    cache.Changes(mirror, { StoreEra(), StoreRevision(2) }, kNow);
  REQUIRE(ChangesOf(changes).mChanges.size() == 1);
  CHECK(&cache.Changes(mirror, { StoreEra(), StoreRevision(2) }, kNow) ==
        &changes);
  cache.OnTime(kNow + seconds(3));
  CHECK(ChangesOf(cache.Changes(mirror, { StoreEra(), StoreRevision(2) }, kNow))
          .mStoreRevision == StoreRevision(3));
}

TEST_CASE("The cache is bounded, and older revisions get a complete copy")
{
  StoreMirror mirror;
  static_cast<void>(mirror.Replace({ Item("a", "1", 50) }, StoreRevision(50)));
  StoreUpdateCache cache;
  CHECK(PageOf(cache.Changes(mirror, { StoreEra(), StoreRevision(4) }, kNow))
          .mStoreRevision == StoreRevision(50));
  for (std::uint64_t i = 0; i < 40; ++i) {
    static_cast<void>(mirror.Apply(StoreChanges{
      { { "b", "2", StoreRevision(51 + i) } }, StoreRevision(51 + i) }));
  }
  for (std::uint64_t i = 50; i < 90; ++i) {
    CHECK(
      ChangesOf(cache.Changes(mirror, { StoreEra(), StoreRevision(i) }, kNow))
        .mStoreRevision == StoreRevision(90));
  }
}

} // namespace verbenachute
