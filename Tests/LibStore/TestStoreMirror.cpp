#include <LibStore/StoreMirror.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

StoreItem
Item(const char* aKey, const char* aValue, std::uint64_t aRevision)
{
  return StoreItem{ aKey, aValue, StoreRevision(aRevision) };
}

StoreChange
Put(const char* aKey, const char* aValue, std::uint64_t aRevision)
{
  return StoreChange{ aKey, aValue, StoreRevision(aRevision) };
}

StoreChange
Removed(const char* aKey, std::uint64_t aRevision)
{
  return StoreChange{ aKey, std::nullopt, StoreRevision(aRevision) };
}

} // namespace

TEST_CASE("Changes older than the known state are ignored")
{
  StoreMirror mirror;
  CHECK(mirror.Apply({ { Put("a", "2", 12) }, StoreRevision(12) }).size() == 1);
  CHECK(mirror.Apply({ { Put("a", "1", 11) }, StoreRevision(11) }).empty());
  CHECK(mirror.Apply({ { Removed("a", 11) }, StoreRevision(11) }).empty());
  CHECK(mirror.CurrentRevision() == StoreRevision(12));
  CHECK(mirror.Items() == std::vector{ Item("a", "2", 12) });
  CHECK(mirror.Apply({ { Removed("a", 13) }, StoreRevision(13) }).size() == 1);
  CHECK(mirror.size() == 0);
}

TEST_CASE("A complete copy removes the keys it lacks, but no newer ones")
{
  StoreMirror mirror;
  static_cast<void>(mirror.Apply(
    { { Put("a", "1", 10), Put("b", "1", 11) }, StoreRevision(11) }));
  static_cast<void>(mirror.Apply({ { Put("c", "1", 21) }, StoreRevision(15) }));
  const StoreMirror::Changes changes =
    mirror.Replace({ Item("a", "2", 18) }, StoreRevision(20));
  CHECK(changes.size() == 2);
  CHECK(mirror.Items() ==
        std::vector{ Item("a", "2", 18), Item("c", "1", 21) });
  CHECK(mirror.CurrentRevision() == StoreRevision(20));
}

TEST_CASE("Changes since a revision bring another mirror up to date")
{
  StoreMirror source;
  static_cast<void>(
    source.Replace({ Item("a", "1", 3), Item("b", "1", 4), Item("c", "1", 5) },
                   StoreRevision(10)));
  StoreMirror copy;
  static_cast<void>(copy.Replace(source.Items(), source.CurrentRevision()));
  static_cast<void>(source.Apply({ { Removed("a", 11),
                                     Put("b", "2", 12),
                                     Removed("c", 13),
                                     Put("c", "3", 14) },
                                   StoreRevision(14) }));
  const std::optional<StoreChanges> changes =
    source.ChangesSince(copy.CurrentRevision());
  REQUIRE(changes.has_value());
  static_cast<void>(copy.Apply(*changes));
  CHECK(copy.Items() == source.Items());
  CHECK(copy.CurrentRevision() == source.CurrentRevision());
  CHECK(!source.ChangesSince(StoreRevision(9)).has_value());
}

TEST_CASE("An older copy changes nothing")
{
  StoreMirror mirror;
  static_cast<void>(mirror.Apply({ { Put("a", "1", 10) }, StoreRevision(10) }));
  CHECK(mirror.Replace({}, StoreRevision(9)).empty());
  CHECK(mirror.size() == 1);
}

} // namespace verbenachute
