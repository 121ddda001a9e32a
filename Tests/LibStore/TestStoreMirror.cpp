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
Gone(const char* aKey, std::uint64_t aRevision)
{
  return StoreChange{ aKey, std::nullopt, StoreRevision(aRevision) };
}

} // namespace

TEST_CASE("Changes apply in the order of their revisions, late ones not")
{
  StoreMirror mirror;
  CHECK(mirror.Apply({ { Put("a", "2", 12) }, StoreRevision(12) }).size() == 1);
  CHECK(mirror.Apply({ { Put("a", "1", 11) }, StoreRevision(11) }).empty());
  CHECK(mirror.Apply({ { Gone("a", 11) }, StoreRevision(11) }).empty());
  CHECK(mirror.At() == StoreRevision(12));
  CHECK(mirror.Items() == std::vector{ Item("a", "2", 12) });
  CHECK(mirror.Apply({ { Gone("a", 13) }, StoreRevision(13) }).size() == 1);
  CHECK(mirror.size() == 0);
}

TEST_CASE("A whole copy removes what it lacks, but nothing that is newer")
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
  CHECK(mirror.At() == StoreRevision(20));
}

TEST_CASE("What changed since a revision brings another mirror up to date")
{
  StoreMirror one;
  static_cast<void>(
    one.Replace({ Item("a", "1", 3), Item("b", "1", 4), Item("c", "1", 5) },
                StoreRevision(10)));
  StoreMirror other;
  static_cast<void>(other.Replace(one.Items(), one.At()));
  static_cast<void>(one.Apply(
    { { Gone("a", 11), Put("b", "2", 12), Gone("c", 13), Put("c", "3", 14) },
      StoreRevision(14) }));
  const std::optional<StoreChanges> changes = one.Since(other.At());
  REQUIRE(changes.has_value());
  static_cast<void>(other.Apply(*changes));
  CHECK(other.Items() == one.Items());
  CHECK(other.At() == one.At());
  CHECK(!one.Since(StoreRevision(9)).has_value());
}

TEST_CASE("An older copy changes nothing")
{
  StoreMirror mirror;
  static_cast<void>(mirror.Apply({ { Put("a", "1", 10) }, StoreRevision(10) }));
  CHECK(mirror.Replace({}, StoreRevision(9)).empty());
  CHECK(mirror.size() == 1);
}

} // namespace verbenachute
