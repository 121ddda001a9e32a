#include <LibHttp/ReceiveBudget.h>

#include <algorithm>

namespace verbenachute {

void
ReceiveBudget::Set(Holder* aHolder, std::size_t aBytes)
{
  const auto found = mHolders.find(aHolder);
  if (found != mHolders.end()) {
    mHeld -= found->second;
  }
  mHeld += aBytes;
  if (aBytes > 0) {
    mHolders[aHolder] = aBytes;
  } else if (found != mHolders.end()) {
    mHolders.erase(found);
  }
  mCharge.Resize(mHeld);
}

void
ReceiveBudget::Update(Holder* aHolder, std::size_t aBytes)
{
  Set(aHolder, aBytes);
  while (mHeld > mLimit) {
    Holder* largest =
      std::max_element(mHolders.begin(),
                       mHolders.end(),
                       [](const auto& aOne, const auto& aOther) {
                         return aOne.second < aOther.second;
                       })
        ->first;
    Set(largest, 0);
    ++mEvictions;
    largest->OnEvicted();
  }
}

} // namespace verbenachute
