#include "CountingPlatform.h"

#include <utility>

namespace verbenachute {

CountingPlatform::CountingPlatform(Platform& aPlatform,
                                   MetricsRegistry& aMetrics)
  : mPlatform(aPlatform)
  , mMetrics(aMetrics)
{
}

void
CountingPlatform::Read(const std::string& aKey, ReadDone aDone)
{
  mPlatform.Read(aKey, Counted(std::move(aDone)));
}

void
CountingPlatform::CompareAndSwap(const std::string& aKey,
                                 const std::string& aValue,
                                 KeyRevision aExpected,
                                 SwapDone aDone)
{
  mPlatform.CompareAndSwap(aKey, aValue, aExpected, Counted(std::move(aDone)));
}

void
CountingPlatform::Remove(const std::string& aKey,
                         KeyRevision aExpected,
                         SwapDone aDone)
{
  mPlatform.Remove(aKey, aExpected, Counted(std::move(aDone)));
}

void
CountingPlatform::Watch(const std::string& aKey,
                        KeyRevision aAfter,
                        Duration aWait,
                        ReadDone aDone)
{
  mPlatform.Watch(aKey, aAfter, aWait, Counted(std::move(aDone)));
}

void
CountingPlatform::ListVms(ListDone aDone)
{
  mPlatform.ListVms(Counted(std::move(aDone)));
}

template<typename Value>
std::function<void(const Result<Value>&)>
CountingPlatform::Counted(std::function<void(const Result<Value>&)> aDone)
{
  mMetrics.Add(Counter::StoreCalls);
  return [this, done = std::move(aDone)](const Result<Value>& aResult) {
    if (IsError(aResult)) {
      mMetrics.Add(Counter::StoreFailures);
    }
    done(aResult);
  };
}

} // namespace verbenachute
