#include <LibCore/MemoryBudget.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace verbenachute {

namespace {

using Use = MemoryBudget::Use;
using Reason = MemoryBudget::Reason;

constexpr std::size_t kLimit = 1'000'000;

class FakeHolder final : public MemoryBudget::Holder
{
public:
  void OnEvicted() override { ++mEvictions; }
  [[nodiscard]] std::size_t HeldBytes() const override { return mBytes; }

  std::size_t mBytes = 0;
  int mEvictions = 0;
};

class Fixture
{
protected:
  void Hold(FakeHolder* aHolder,
            std::size_t aBytes,
            Use aUse = Use::IncompleteRequest)
  {
    const std::size_t moved = aBytes - std::min(aBytes, aHolder->mBytes);
    aHolder->mBytes = aBytes;
    mBudget.Update(aHolder, aUse, aBytes, moved, mNow);
  }

  Instant mNow{ seconds(100) };
  std::vector<MemoryBudget::Eviction> mEvictions;
  int mRefusals = 0;
  MemoryBudget mBudget{ kLimit,
                        [this](const MemoryBudget::Eviction& aEviction) {
                          mEvictions.push_back(aEviction);
                        },
                        [this]() { ++mRefusals; } };
};

} // namespace

// Guards against clients that stop before the end of a body and keep its
// memory.
TEST_CASE_FIXTURE(Fixture, "The largest message without progress is evicted")
{
  FakeHolder stalled;
  FakeHolder small;
  FakeHolder active;
  Hold(&stalled, 500'000);
  Hold(&small, 10'000);
  mNow += seconds(5);
  Hold(&active, 480'000);
  CHECK(mEvictions.empty());
  Hold(&active, 600'000);
  CHECK(stalled.mEvictions == 1);
  CHECK(active.mEvictions == 0);
  CHECK(small.mEvictions == 0);
  CHECK(mBudget.Held() == 610'000);
  REQUIRE(mEvictions.size() == 1);
  CHECK(mEvictions[0].mReason == Reason::OverLimit);
  CHECK(mEvictions[0].mBytes == 500'000);
}

// Guards against closing a request in progress while an unread response could
// be closed instead.
TEST_CASE_FIXTURE(Fixture, "Requests in progress are evicted last")
{
  FakeHolder running;
  FakeHolder unread;
  Hold(&running, 600'000, Use::ReadAhead);
  mNow += seconds(60);
  Hold(&unread, 500'000, Use::UnreadResponse);
  CHECK(running.mEvictions == 0);
  CHECK(unread.mEvictions == 1);
}

TEST_CASE_FIXTURE(Fixture, "A response that drains counts with what is left")
{
  FakeHolder draining;
  FakeHolder other;
  Hold(&draining, 600'000, Use::UnreadResponse);
  draining.mBytes = 100'000;
  mNow += seconds(1);
  Hold(&other, 500'000);
  CHECK(mEvictions.empty());
  CHECK(mBudget.Held() == 600'000);
}

// Guards against clients that send a byte now and then to stay below the idle
// timeout, and against closing them while memory is plentiful.
TEST_CASE_FIXTURE(Fixture, "Slow progress counts only while memory is scarce")
{
  FakeHolder trickling;
  FakeHolder other;
  Hold(&trickling, 200'000);
  mNow += seconds(17);
  Hold(&trickling, 200'001);
  mBudget.Sweep(mNow);
  CHECK(mEvictions.empty());
  Hold(&other, 400'000);
  // The progress of the first window sufficed.
  mBudget.Sweep(mNow);
  CHECK(mEvictions.empty());
  mNow += seconds(17);
  Hold(&trickling, 200'002);
  Hold(&other, 450'000);
  mBudget.Sweep(mNow);
  CHECK(trickling.mEvictions == 1);
  CHECK(other.mEvictions == 0);
  REQUIRE(mEvictions.size() == 1);
  CHECK(mEvictions[0].mReason == Reason::TooSlow);
}

TEST_CASE_FIXTURE(Fixture, "Complete requests are charged until they end")
{
  CHECK(mBudget.Admits(500'000));
  CHECK_FALSE(mBudget.Admits(500'001));
  {
    const MemoryBudget::Charge charge(&mBudget, 500'000);
    CHECK(mBudget.Held() == 500'000);
    CHECK_FALSE(mBudget.Admits(100'000));
    CHECK(mBudget.Admits(1'000));
  }
  CHECK(mBudget.Held() == 0);
}

TEST_CASE_FIXTURE(Fixture, "A charge follows what it is for")
{
  MemoryBudget::Charge charge(&mBudget, 100);
  charge.Resize(300);
  CHECK(mBudget.Held() == 300);
  MemoryBudget::Charge moved = std::move(charge);
  charge.Resize(700);
  CHECK(mBudget.Held() == 300);
  moved.Resize(50);
  CHECK(mBudget.Held() == 50);
  moved = MemoryBudget::Charge();
  CHECK(mBudget.Held() == 0);
}

// Guards against bytes that no client sends, such as those of targets, after
// which no client is read that would be evicted.
TEST_CASE_FIXTURE(Fixture, "Charges beyond the limit evict at the next sweep")
{
  FakeHolder stalled;
  Hold(&stalled, 400'000);
  const MemoryBudget::Charge charge(&mBudget, 700'000);
  CHECK(stalled.mEvictions == 0);
  mBudget.Sweep(mNow);
  CHECK(stalled.mEvictions == 1);
}

TEST_CASE_FIXTURE(Fixture, "Frames to a peer count with what is left")
{
  FakeHolder link;
  FakeHolder other;
  Hold(&link, 600'000, Use::PeerFrames);
  link.mBytes = 100'000;
  Hold(&other, 500'000);
  CHECK(mEvictions.empty());
  CHECK(mBudget.Held() == 600'000);
}

} // namespace verbenachute
