#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <functional>
#include <unordered_map>
#include <vector>

namespace verbenachute {

/// The account of all memory that clients cause a process to hold. What can be
/// given up is held by connections, and beyond the limit those that hold most
/// for their recent progress are evicted. The rest is charged, and requests are
/// not admitted while it takes too much. It has no clock and does no I/O.
class MemoryBudget
{
public:
  /// What a connection holds its memory for.
  enum class Use
  {
    IncompleteRequest,
    UnreadResponse,
    /// Input beyond a request that is in progress.
    ReadAhead,
    /// An incomplete frame of another node, and frames that it has not read.
    PeerFrames,
  };

  enum class Reason
  {
    /// The limit was exceeded.
    OverLimit,
    /// The connection made less than the minimum progress while memory was
    /// scarce.
    TooSlow,
  };

  struct Eviction
  {
    Use mUse = Use::IncompleteRequest;
    Reason mReason = Reason::OverLimit;
    std::size_t mBytes = 0;
  };

  class Holder
  {
  public:
    /// The holder must free its memory soon and must not call the budget.
    virtual void OnEvicted() = 0;
    /// Bytes that it holds now.
    [[nodiscard]] virtual std::size_t HeldBytes() const = 0;

  protected:
    ~Holder() = default;
  };

  /// Memory that cannot be evicted, from its allocation until it is freed.
  class Charge
  {
  public:
    Charge() = default;
    /// aBudget may be null, and must outlive the charge otherwise.
    Charge(MemoryBudget* aBudget, std::size_t aBytes);
    Charge(Charge&& aOther) noexcept;
    Charge& operator=(Charge&& aOther) noexcept;
    ~Charge();

    void Resize(std::size_t aBytes);

  private:
    void Release();

    MemoryBudget* mBudget = nullptr;
    std::size_t mBytes = 0;
  };

  using RefusedCallback = std::function<void()>;
  using EvictionCallback = std::function<void(const Eviction&)>;

  /// aLimit is in bytes.
  MemoryBudget(std::size_t aLimit,
               EvictionCallback aEvicted,
               RefusedCallback aRefused);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// The holder holds so many bytes now and has moved some since the last call.
  /// May evict holders, this one included.
  void Update(Holder* aHolder,
              Use aUse,
              std::size_t aBytes,
              std::size_t aMoved,
              Instant aNow);
  void Remove(Holder* aHolder);
  /// Evicts holders if charges have exceeded the limit, and the holders below
  /// the minimum progress if memory is scarce.
  void Sweep(Instant aNow);
  /// Whether a complete request of so many bytes may run beside what is
  /// charged. Small requests may use more of the limit than large ones.
  [[nodiscard]] bool Admits(std::size_t aBytes) const;
  /// A complete request was refused because of the budget.
  void OnRefused() { mRefused(); }
  [[nodiscard]] std::size_t Held() const { return mHeld + mCharged; }

private:
  struct Entry
  {
    Use mUse = Use::IncompleteRequest;
    std::size_t mBytes = 0;
    /// Bytes moved since the beginning of the window.
    std::size_t mMoved = 0;
    Instant mWindowStart;
    Instant mLastProgress;
  };

  void Refresh(Instant aNow);
  void EvictLargestAndSlowest(Instant aNow);
  void Evict(Holder* aHolder, Reason aReason);
  /// Bytes held for each byte of recent progress, weighted by the time since
  /// the last progress.
  [[nodiscard]] static double CostOf(const Entry& aEntry, Instant aNow);

  std::size_t mLimit;
  EvictionCallback mEvicted;
  RefusedCallback mRefused;
  std::unordered_map<Holder*, Entry> mHolders;
  std::size_t mHeld = 0;
  std::size_t mCharged = 0;
};

} // namespace verbenachute
