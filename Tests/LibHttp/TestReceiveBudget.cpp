#include <LibHttp/ReceiveBudget.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

class FakeHolder final : public ReceiveBudget::Holder
{
public:
  void OnEvicted() override { ++mEvictions; }
  int mEvictions = 0;
};

} // namespace

TEST_CASE("Beyond the limit the largest message is given up")
{
  ReceiveBudget budget(100);
  FakeHolder small;
  FakeHolder large;
  budget.Update(&large, 60);
  budget.Update(&small, 40);
  CHECK(large.mEvictions == 0);
  budget.Update(&small, 41);
  CHECK(large.mEvictions == 1);
  CHECK(small.mEvictions == 0);
  CHECK(budget.Held() == 41);
  CHECK(budget.Evictions() == 1);
}

TEST_CASE("A message that exceeds the limit alone is given up")
{
  ReceiveBudget budget(100);
  FakeHolder small;
  FakeHolder large;
  budget.Update(&small, 10);
  budget.Update(&large, 101);
  CHECK(large.mEvictions == 1);
  CHECK(small.mEvictions == 0);
  CHECK(budget.Held() == 10);
}

TEST_CASE("Messages that have ended do not count")
{
  ReceiveBudget budget(100);
  FakeHolder one;
  FakeHolder other;
  budget.Update(&one, 90);
  budget.Update(&one, 0);
  budget.Update(&one, 0);
  budget.Update(&other, 90);
  CHECK(budget.Held() == 90);
  CHECK(one.mEvictions + other.mEvictions == 0);
}

TEST_CASE("Messages are charged to the account of the process")
{
  MemoryBudget account(
    1000, [](const MemoryBudget::Eviction&) {}, []() {});
  ReceiveBudget budget(100, &account);
  FakeHolder one;
  FakeHolder other;
  budget.Update(&one, 60);
  budget.Update(&other, 30);
  CHECK(account.Held() == 90);
  // The largest is given up.
  budget.Update(&other, 50);
  CHECK(account.Held() == 50);
  budget.Update(&other, 0);
  CHECK(account.Held() == 0);
}

} // namespace verbenachute
