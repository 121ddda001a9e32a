#include <LibGather/PendingDelegations.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Instant kStart(seconds(10));

SocketAddress
PeerAt(std::uint16_t aPort)
{
  return SocketAddress{ "10.0.0.1", aPort };
}

} // namespace

// The link to a peer falls silent while it carries two delegations of one
// query. The failure of the first ends the query, which cancels the second: a
// lookup of its closed link ended the process.
TEST_CASE("No delegation of a lost link is pending while failures are handled")
{
  PendingDelegations pending;
  const DelegationNumber first(1);
  const DelegationNumber second(2);
  const DelegationNumber other(3);
  pending.Add(first, PeerAt(1), kStart);
  pending.Add(second, PeerAt(1), kStart);
  pending.Add(other, PeerAt(2), kStart);
  CHECK(pending.TakeAllOf(PeerAt(1)) ==
        std::vector<DelegationNumber>{ first, second });
  CHECK(!pending.PeerOf(first).has_value());
  CHECK(!pending.PeerOf(second).has_value());
  CHECK(pending.PeerOf(other) == PeerAt(2));
  CHECK(pending.TakeAllOf(PeerAt(1)).empty());
  pending.Remove(second);
  pending.Remove(other);
  CHECK(pending.IsEmpty());
}

// A delegation that starts while failures are handled uses a new link.
TEST_CASE("A later delegation to the peer of a lost link is kept")
{
  PendingDelegations pending;
  pending.Add(DelegationNumber(1), PeerAt(1), kStart);
  CHECK(pending.TakeAllOf(PeerAt(1)).size() == 1);
  pending.Add(DelegationNumber(2), PeerAt(1), kStart + seconds(1));
  pending.Remove(DelegationNumber(1));
  CHECK(pending.PeerOf(DelegationNumber(2)) == PeerAt(1));
}

TEST_CASE("A link is silent only if a delegation was sent after its last frame")
{
  PendingDelegations pending;
  pending.Add(DelegationNumber(1), PeerAt(1), kStart + milliseconds(100));
  CHECK(pending.HasSent(PeerAt(1), kStart, kStart + seconds(1)));
  CHECK(!pending.HasSent(PeerAt(2), kStart, kStart + seconds(1)));
  CHECK(!pending.HasSent(
    PeerAt(1), kStart + milliseconds(101), kStart + seconds(1)));
  CHECK(!pending.HasSent(PeerAt(1), kStart, kStart + milliseconds(100)));
  pending.Remove(DelegationNumber(1));
  CHECK(!pending.HasSent(PeerAt(1), kStart, kStart + seconds(1)));
}

} // namespace verbenachute
