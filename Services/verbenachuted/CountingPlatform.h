#pragma once

#include <LibObservation/MetricsRegistry.h>
#include <LibPlatform/Platform.h>

namespace verbenachute {

/// Counts the calls to the platform, since the platform counts them as well
/// and its rates grow more slowly than the fleet.
class CountingPlatform final : public Platform
{
public:
  /// Both outlive this object.
  CountingPlatform(Platform& aPlatform, MetricsRegistry& aMetrics);

  void Read(const std::string& aKey, ReadDone aDone) override;
  void CompareAndSwap(const std::string& aKey,
                      const std::string& aValue,
                      KeyRevision aExpected,
                      SwapDone aDone) override;
  void Remove(const std::string& aKey,
              KeyRevision aExpected,
              SwapDone aDone) override;
  void Watch(const std::string& aKey,
             KeyRevision aAfter,
             Duration aWait,
             ReadDone aDone) override;
  void ListVms(ListDone aDone) override;

private:
  /// Counts a call, and its failure when it ends.
  template<typename Value>
  std::function<void(const Result<Value>&)> Counted(
    std::function<void(const Result<Value>&)> aDone);

  Platform& mPlatform;
  MetricsRegistry& mMetrics;
};

} // namespace verbenachute
