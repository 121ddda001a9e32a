#pragma once

#include <LibCore/MemoryBudget.h>

#include <cstddef>
#include <unordered_map>

namespace verbenachute {

/// Bounds the memory that incomplete messages of several connections take
/// together. If it is exceeded, the largest message is given up, so that peers
/// that send without end do not cost other connections theirs.
class ReceiveBudget
{
public:
  class Holder
  {
  public:
    /// The holder's message is given up. It must free its memory, and must not
    /// call the budget.
    virtual void OnEvicted() = 0;

  protected:
    ~Holder() = default;
  };

  /// aLimit is in bytes. The messages are charged to aAccount, which may be
  /// null and must outlive the budget otherwise.
  explicit ReceiveBudget(std::size_t aLimit, MemoryBudget* aAccount = nullptr)
    : mLimit(aLimit)
    , mCharge(aAccount, 0)
  {
  }

  /// The holder's incomplete message takes so many bytes now; 0 if it has none.
  /// May evict holders, this one included.
  void Update(Holder* aHolder, std::size_t aBytes);
  /// Bytes of all incomplete messages.
  [[nodiscard]] std::size_t Held() const { return mHeld; }
  /// Messages that were given up.
  [[nodiscard]] std::size_t Evictions() const { return mEvictions; }

private:
  void Set(Holder* aHolder, std::size_t aBytes);

  std::size_t mLimit;
  std::unordered_map<Holder*, std::size_t> mHolders;
  std::size_t mHeld = 0;
  MemoryBudget::Charge mCharge;
  std::size_t mEvictions = 0;
};

} // namespace verbenachute
