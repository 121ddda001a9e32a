#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibPlatform/KeyValueStore.h>

#include <functional>
#include <string>
#include <vector>

namespace verbenachute {

enum class VmState
{
  Live,
  Leaving,
};

/// A VM as the platform lists it; the list lags.
struct VmEntry
{
  NodeName mName;
  SocketAddress mCallerAddress;
  SocketAddress mPeerAddress;
  SocketAddress mOperatorAddress;
  FailureDomain mDomain;
  Region mRegion;
  VmState mState = VmState::Live;
};

/// The platform's key-value service and VM list.
class Platform : public KeyValueStore
{
public:
  using ListDone = std::function<void(const Result<std::vector<VmEntry>>&)>;

  /// Gives the value once its revision exceeds aAfter, and no value when
  /// aWait has passed without a change.
  virtual void Watch(const std::string& aKey,
                     KeyRevision aAfter,
                     Duration aWait,
                     ReadDone aDone) = 0;
  virtual void ListVms(ListDone aDone) = 0;
};

} // namespace verbenachute
