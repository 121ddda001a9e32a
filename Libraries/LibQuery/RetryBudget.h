#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>
#include <cstdint>
#include <map>

namespace verbenachute {

enum class Payment
{
  Paid,
  Refused,
};

/// How much of the budget an attempt may use.
enum class Urgency
{
  /// It leaves the reserve to others.
  Deferrable,
  Urgent,
};

/// Settings of a RetryBudget, in thousandths of an attempt.
struct RetryBudgetSettings
{
  /// What each first attempt adds.
  std::int64_t mRefill = 50;
  /// What a class has before its first attempt.
  std::int64_t mInitial = 10'000;
  /// The most that a class can save up.
  std::int64_t mMaximum = 500'000;
  /// What deferrable attempts leave over.
  std::int64_t mReserve = 5'000;
  /// What each overloaded answer takes away.
  std::int64_t mOverloadDrain = 1000;
};

/// Pays for hedges and retries, one budget for each caller class. First
/// attempts fill it, so that extra attempts stay below a fixed share of the
/// load; overload drains it, so that they stop when they would do harm. Only
/// the node that runs a query spends from it: holders never retry.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetSettings aSettings);

  void OnFirstAttempt(const CallerClass& aClass);
  void OnOverloaded(const CallerClass& aClass);

  /// Pays for all of aAttempts or for none.
  [[nodiscard]] Payment Spend(const CallerClass& aClass,
                              std::size_t aAttempts,
                              Urgency aUrgency);

  /// What a class has left, in thousandths of an attempt.
  [[nodiscard]] std::int64_t Balance(const CallerClass& aClass) const;

private:
  std::int64_t& Account(const CallerClass& aClass);

  RetryBudgetSettings mSettings;
  std::map<CallerClass, std::int64_t> mAccounts;
};

} // namespace verbenachute
