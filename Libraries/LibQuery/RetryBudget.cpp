#include <LibQuery/RetryBudget.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

namespace {

constexpr std::int64_t kAttemptCost = 1000;

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings aSettings)
  : mSettings(aSettings)
{
  VERIFY(mSettings.mRefill >= 0 && mSettings.mRefill <= kAttemptCost);
  VERIFY(mSettings.mInitial >= 0 && mSettings.mInitial <= mSettings.mMaximum);
  VERIFY(mSettings.mReserve >= 0 && mSettings.mOverloadDrain >= 0);
}

void
RetryBudget::OnFirstAttempt(const CallerClass& aClass)
{
  std::int64_t& account = Account(aClass);
  account = std::min(account + mSettings.mRefill, mSettings.mMaximum);
}

void
RetryBudget::OnOverloaded(const CallerClass& aClass)
{
  std::int64_t& account = Account(aClass);
  account = std::max<std::int64_t>(account - mSettings.mOverloadDrain, 0);
}

Payment
RetryBudget::Spend(const CallerClass& aClass,
                   std::size_t aAttempts,
                   Urgency aUrgency)
{
  std::int64_t& account = Account(aClass);
  const std::int64_t cost = static_cast<std::int64_t>(aAttempts) * kAttemptCost;
  const std::int64_t reserve =
    aUrgency == Urgency::Deferrable ? mSettings.mReserve : 0;
  if (account < cost + reserve) {
    return Payment::Refused;
  }
  account -= cost;
  VERIFY(account >= 0);
  return Payment::Paid;
}

std::int64_t
RetryBudget::Balance(const CallerClass& aClass) const
{
  const auto account = mAccounts.find(aClass);
  return account == mAccounts.end() ? mSettings.mInitial : account->second;
}

std::int64_t&
RetryBudget::Account(const CallerClass& aClass)
{
  return mAccounts.try_emplace(aClass, mSettings.mInitial).first->second;
}

} // namespace verbenachute
