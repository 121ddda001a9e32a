#include <Deployment/StoreModel.h>

#include <doctest/doctest.h>

namespace verbenachute::standins {

namespace {

constexpr Instant kNow{ seconds(10) };

} // namespace

TEST_CASE("A transaction is all or nothing")
{
  StoreModel store;
  CHECK(store.Transact({ { "a", 0 } }, { { "a", "1", 0 } }, {}) ==
        StoreModel::Outcome::Done);
  const std::uint64_t revision = store.Revision();
  CHECK(store.Transact({ { "a", revision }, { "b", 7 } },
                       { { "a", "2", 0 } },
                       { "a" }) == StoreModel::Outcome::PreconditionFailed);
  CHECK(store.Find("a")->mValue == "1");
  CHECK(store.Revision() == revision);
  CHECK(store.Transact({}, { { "c", "1", 99 } }, {}) ==
        StoreModel::Outcome::UnknownLease);
  CHECK(store.Find("c") == nullptr);
}

TEST_CASE("Changes after a revision are told until the history is forgotten")
{
  StoreModel store;
  store.Put("a", "1");
  const std::uint64_t first = store.Revision();
  store.Put("b", "1");
  store.Remove("a");
  REQUIRE(store.Since(first).has_value());
  REQUIRE(store.Since(first)->size() == 2);
  CHECK(store.Since(first)->at(0).mItem->mValue == "1");
  CHECK(!store.Since(first)->at(1).mItem.has_value());
  store.ForgetHistory();
  CHECK(!store.Since(first).has_value());
  CHECK(store.Since(store.Revision())->empty());
}

TEST_CASE("Keys go with their lease, and a renewal counts from its arrival")
{
  StoreModel store;
  const StoreModel::LeaseNumber lease = store.Grant(seconds(2), kNow);
  REQUIRE(store.Transact({}, { { "a", "1", lease } }, {}) ==
          StoreModel::Outcome::Done);
  CHECK(store.Renew(lease, kNow + seconds(1)));
  store.Expire(kNow + seconds(2));
  CHECK(store.Find("a") != nullptr);
  store.Expire(kNow + seconds(3));
  CHECK(store.Find("a") == nullptr);
  CHECK(!store.Renew(lease, kNow + seconds(3)));
}

} // namespace verbenachute::standins
