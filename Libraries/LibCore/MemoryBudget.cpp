#include <LibCore/MemoryBudget.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace verbenachute {

namespace {

// Progress is averaged over this time. It is longer than the idle timeout of
// 15 s, so that a client that keeps the timeouts has moved something in it.
constexpr Duration kWindow = seconds(16);
// Bytes that a client must move in each window while memory is scarce.
constexpr std::size_t kMinimumProgress = 4'096;
// Progress that each holder is credited with, in bytes per second, so that
// small holders without any progress stay cheap.
constexpr double kCreditedRate = 1'024;
// Requests up to this size may use three quarters of the limit, larger ones
// half of it.
constexpr std::size_t kSmallRequest = 16UL * 1024;

double
SecondsOf(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

MemoryBudget::Charge::Charge(MemoryBudget* aBudget, std::size_t aBytes)
  : mBudget(aBudget)
{
  Resize(aBytes);
}

MemoryBudget::Charge::Charge(Charge&& aOther) noexcept
  : mBudget(std::exchange(aOther.mBudget, nullptr))
  , mBytes(std::exchange(aOther.mBytes, 0))
{
}

MemoryBudget::Charge&
MemoryBudget::Charge::operator=(Charge&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mBudget = std::exchange(aOther.mBudget, nullptr);
    mBytes = std::exchange(aOther.mBytes, 0);
  }
  return *this;
}

MemoryBudget::Charge::~Charge()
{
  Release();
}

void
MemoryBudget::Charge::Resize(std::size_t aBytes)
{
  if (mBudget != nullptr) {
    mBudget->mCharged += aBytes;
    mBudget->mCharged -= mBytes;
    mBytes = aBytes;
  }
}

void
MemoryBudget::Charge::Release()
{
  Resize(0);
  mBudget = nullptr;
}

MemoryBudget::MemoryBudget(std::size_t aLimit,
                           EvictionCallback aEvicted,
                           RefusedCallback aRefused)
  : mLimit(aLimit)
  , mEvicted(std::move(aEvicted))
  , mRefused(std::move(aRefused))
{
}

void
MemoryBudget::Update(Holder* aHolder,
                     Use aUse,
                     std::size_t aBytes,
                     std::size_t aMoved,
                     Instant aNow)
{
  if (aBytes == 0) {
    Remove(aHolder);
    return;
  }
  const auto [found, isNew] = mHolders.try_emplace(aHolder);
  Entry& entry = found->second;
  if (isNew || entry.mUse != aUse) {
    entry.mUse = aUse;
    entry.mMoved = 0;
    entry.mWindowStart = aNow;
    entry.mLastProgress = aNow;
  }
  mHeld += aBytes;
  mHeld -= entry.mBytes;
  entry.mBytes = aBytes;
  entry.mMoved += aMoved;
  if (aMoved > 0) {
    entry.mLastProgress = aNow;
  }
  if (Held() > mLimit) {
    EvictLargestAndSlowest(aNow);
  }
}

void
MemoryBudget::Remove(Holder* aHolder)
{
  const auto found = mHolders.find(aHolder);
  if (found == mHolders.end()) {
    return;
  }
  mHeld -= found->second.mBytes;
  mHolders.erase(found);
}

void
MemoryBudget::Refresh(Instant aNow)
{
  // Output drains without a call of Update.
  for (auto& [holder, entry] : mHolders) {
    const std::size_t bytes = holder->HeldBytes();
    const bool drains =
      entry.mUse == Use::UnreadResponse || entry.mUse == Use::PeerFrames;
    if (!drains || bytes >= entry.mBytes) {
      continue;
    }
    entry.mMoved += entry.mBytes - bytes;
    entry.mLastProgress = aNow;
    mHeld -= entry.mBytes - bytes;
    entry.mBytes = bytes;
  }
}

double
MemoryBudget::CostOf(const Entry& aEntry, Instant aNow)
{
  const double elapsed = std::max(1.0, SecondsOf(aNow - aEntry.mWindowStart));
  const double rate = static_cast<double>(aEntry.mMoved) / elapsed;
  const double stalled = 1 + SecondsOf(aNow - aEntry.mLastProgress);
  return static_cast<double>(aEntry.mBytes) * stalled / (rate + kCreditedRate);
}

void
MemoryBudget::EvictLargestAndSlowest(Instant aNow)
{
  Refresh(aNow);
  // Connections with a request in progress come last.
  using Candidate = std::tuple<bool, double, Holder*>;
  std::vector<Candidate> candidates;
  candidates.reserve(mHolders.size());
  for (const auto& [holder, entry] : mHolders) {
    candidates.emplace_back(
      entry.mUse != Use::ReadAhead, CostOf(entry, aNow), holder);
  }
  std::sort(candidates.begin(), candidates.end(), std::greater<>());
  // An eighth more than needed, so that the next read does not sort again.
  const std::size_t goal = mLimit - mLimit / 8;
  for (const Candidate& candidate : candidates) {
    if (Held() <= goal) {
      return;
    }
    Evict(std::get<Holder*>(candidate), Reason::OverLimit);
  }
}

void
MemoryBudget::Evict(Holder* aHolder, Reason aReason)
{
  const Entry entry = mHolders.at(aHolder);
  Remove(aHolder);
  aHolder->OnEvicted();
  mEvicted(Eviction{ entry.mUse, aReason, entry.mBytes });
}

void
MemoryBudget::Sweep(Instant aNow)
{
  if (Held() > mLimit) {
    EvictLargestAndSlowest(aNow);
  }
  if (Held() <= mLimit / 2) {
    return;
  }
  Refresh(aNow);
  std::vector<Holder*> slow;
  for (auto& [holder, entry] : mHolders) {
    if (entry.mUse == Use::ReadAhead || aNow - entry.mWindowStart < kWindow) {
      continue;
    }
    if (entry.mMoved < kMinimumProgress) {
      slow.push_back(holder);
    }
    entry.mMoved = 0;
    entry.mWindowStart = aNow;
  }
  for (Holder* holder : slow) {
    Evict(holder, Reason::TooSlow);
  }
}

bool
MemoryBudget::Admits(std::size_t aBytes) const
{
  const std::size_t share =
    aBytes <= kSmallRequest ? mLimit / 4 * 3 : mLimit / 2;
  return mCharged + aBytes <= share;
}

} // namespace verbenachute
