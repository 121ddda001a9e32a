#include <LibForward/AttemptBudget.h>

#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <vector>

namespace verbenachute {

namespace {

constexpr AttemptBudgetLimits kLimits{ 0.2, 56, seconds(10) };

} // namespace

TEST_CASE("Without requests a node spends only its share of the slack")
{
  AttemptBudget budget(kLimits);
  const Instant now(seconds(100));
  int taken = 0;
  while (budget.TryAcquire(AttemptPurpose::Retry, 8, now)) {
    ++taken;
  }
  CHECK(taken > 0);
  CHECK(taken * 8 <= 56);
  CHECK(!budget.TryAcquire(AttemptPurpose::Hedge, 8, now + seconds(9)));
  CHECK(budget.TryAcquire(AttemptPurpose::Retry, 8, now + seconds(11)));
}

TEST_CASE("Hedges leave a reserve for retries")
{
  AttemptBudget budget(kLimits);
  const Instant now(seconds(100));
  while (budget.TryAcquire(AttemptPurpose::Hedge, 8, now)) {
  }
  CHECK(budget.TryAcquire(AttemptPurpose::Retry, 8, now));
}

TEST_CASE(
  "The extra attempts of all nodes stay within ratio and slack in any window")
{
  // Guards against exceeding the limits while every request fails: each node
  // wants two extra attempts for each request, at a request rate that changes.
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    constexpr std::size_t kNodes = 8;
    std::vector<AttemptBudget> budgets(kNodes, AttemptBudget(kLimits));
    std::deque<Instant> requests;
    std::deque<Instant> extraAttempts;
    Instant now(seconds(1000));
    for (int i = 0; i < 8000; ++i) {
      const unsigned meanInterval = now < Instant(seconds(1015)) ? 2500 : 20000;
      now += Duration(random() % (2 * meanInterval) + 1);
      AttemptBudget& budget = budgets[random() % kNodes];
      budget.OnRequest(now);
      requests.push_back(now);
      for (int attempt = 0; attempt < 2; ++attempt) {
        if (budget.TryAcquire(AttemptPurpose::Retry, kNodes, now)) {
          extraAttempts.push_back(now);
        }
      }
      while (requests.front() <= now - kLimits.mWindow) {
        requests.pop_front();
      }
      while (!extraAttempts.empty() &&
             extraAttempts.front() <= now - kLimits.mWindow) {
        extraAttempts.pop_front();
      }
      CHECK(static_cast<double>(extraAttempts.size()) <=
            kLimits.mRatio * static_cast<double>(requests.size()) +
              kLimits.mSlack);
    }
  }
}

} // namespace verbenachute
