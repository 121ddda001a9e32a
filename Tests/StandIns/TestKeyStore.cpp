#include <Platform/KeyStore.h>

#include <doctest/doctest.h>

namespace verbenachute::standins {

TEST_CASE("A key that comes back does not repeat a revision")
{
  KeyStore store;
  CHECK(store.Put("k", "a", KeyRevision(0), {}).mRevision == KeyRevision(1));
  CHECK(store.Put("k", "b", KeyRevision(0), {}).mOutcome ==
        WriteResult::Outcome::Conflict);
  CHECK(store.Remove("k", KeyRevision(1)).mOutcome ==
        WriteResult::Outcome::Applied);
  CHECK(store.Find("k") == nullptr);
  CHECK(store.Put("k", "c", KeyRevision(0), {}).mRevision == KeyRevision(2));
}

TEST_CASE("A key goes away with its lease")
{
  KeyStore store;
  const Instant start(seconds(10));
  const LeaseId lease = store.Grant(seconds(2), start);
  CHECK(store.Put("k", "a", KeyRevision(0), lease).mOutcome ==
        WriteResult::Outcome::Applied);
  CHECK(store.Renew(lease, start + seconds(1)));
  store.Expire(start + milliseconds(2900));
  CHECK(store.Find("k") != nullptr);
  store.Expire(start + seconds(3));
  CHECK(store.Find("k") == nullptr);
  CHECK_FALSE(store.Renew(lease, start + seconds(3)));
}

} // namespace verbenachute::standins
