#include <LibConfiguration/InForceTracker.h>
#include <LibConfiguration/MinimumRevision.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

NodeIdentity
Life(const char* aName, std::uint64_t aIncarnation)
{
  return { NodeName(aName), Incarnation(aIncarnation) };
}

} // namespace

TEST_CASE("A revision is in force when no node can dispatch without it")
{
  InForceTracker tracker;
  CHECK(tracker.StatusOf(Revision(1)).mPropagation == Propagation::Spreading);
  tracker.OnConfirmed(Life("a", 1), Revision(5));
  tracker.OnNode(Life("b", 1));
  PropagationStatus status = tracker.StatusOf(Revision(5));
  CHECK(status.mPropagation == Propagation::Spreading);
  CHECK(status.mLagging == std::vector{ Life("b", 1) });

  tracker.OnLeasesLapsed(Life("b", 1), Revision(4));
  CHECK(tracker.StatusOf(Revision(5)).mPropagation == Propagation::Spreading);
  tracker.OnLeasesLapsed(Life("b", 1), Revision(5));
  status = tracker.StatusOf(Revision(5));
  CHECK(status.mPropagation == Propagation::InForce);
  CHECK(status.mUnableToDispatch == std::vector{ Life("b", 1) });
  CHECK(tracker.StatusOf(Revision(6)).mPropagation == Propagation::Spreading);

  // A new life starts anew, and late words of the old one count no more.
  tracker.OnNode(Life("b", 2));
  CHECK(tracker.StatusOf(Revision(5)).mPropagation == Propagation::Spreading);
  tracker.OnConfirmed(Life("b", 1), Revision(9));
  tracker.OnGone(Life("b", 1));
  CHECK(tracker.StatusOf(Revision(5)).mPropagation == Propagation::Spreading);
  tracker.OnConfirmed(Life("b", 2), Revision(5));
  tracker.OnConfirmed(Life("b", 2), Revision(3));
  CHECK(tracker.StatusOf(Revision(5)).mPropagation == Propagation::InForce);
  tracker.OnNode(Life("c", 1));
  tracker.OnGone(Life("c", 1));
  CHECK(tracker.StatusOf(Revision(5)).mPropagation == Propagation::InForce);
}

TEST_CASE("Old revisions are barred once every majority knows the new one")
{
  constexpr Duration kLapse = seconds(3);
  const Instant start(seconds(100));
  MinimumRevision bar(kLapse);
  const auto tell = [&](std::vector<Revision> aVoters, Duration aAfter) {
    bar.OnVoters(std::move(aVoters), 2, start + aAfter);
    return bar.Current();
  };
  const Revision two(2);
  const Revision three(3);
  CHECK(tell({ three, Revision(0), Revision(0) }, seconds(0)) == Revision(0));
  // One of three is no member of every majority.
  CHECK(tell({ three, two, two }, seconds(1)) == Revision(0));
  // Two of three are, but leases under the revision before are still out.
  CHECK(tell({ three, three, two }, seconds(2)) == Revision(0));
  CHECK(tell({ three, three, two }, seconds(4)) == two);
  CHECK(tell({ three, three, two }, milliseconds(4'999)) == two);
  CHECK(tell({ three, three, two }, seconds(5)) == three);
  // A voter that restarted lowers nothing.
  CHECK(tell({ three, Revision(0), two }, seconds(9)) == three);
}

} // namespace verbenachute
