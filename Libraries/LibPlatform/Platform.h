#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// Revision that the store gives to one key; 0 for a key that does not exist.
using KeyRevision = Strong<struct KeyRevisionTag, std::uint64_t>;

struct StoredValue
{
  std::string mValue;
  KeyRevision mRevision;
};

enum class SwapResult
{
  Swapped,
  /// The key was not at the expected revision; nothing was written.
  Conflict,
};

struct SwapOutcome
{
  SwapResult mResult = SwapResult::Conflict;
  /// Revision of the key after the call.
  KeyRevision mRevision;
};

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

/// The platform's key-value service and VM list. Each call ends with one
/// call of its function; an error of the step Store with the code
/// OutcomeUnknown tells that a write may have taken effect.
class Platform
{
public:
  using ReadDone =
    std::function<void(const Result<std::optional<StoredValue>>&)>;
  using SwapDone = std::function<void(const Result<SwapOutcome>&)>;
  using ListDone = std::function<void(const Result<std::vector<VmEntry>>&)>;

  virtual ~Platform() = default;

  /// Gives no value for a key that does not exist.
  virtual void Read(const std::string& aKey, ReadDone aDone) = 0;
  virtual void CompareAndSwap(const std::string& aKey,
                              const std::string& aValue,
                              KeyRevision aExpected,
                              SwapDone aDone) = 0;
  /// Deletes a key that is at the expected revision.
  virtual void Remove(const std::string& aKey,
                      KeyRevision aExpected,
                      SwapDone aDone) = 0;
  /// Gives the value once its revision exceeds aAfter, and no value when
  /// aWait has passed without a change.
  virtual void Watch(const std::string& aKey,
                     KeyRevision aAfter,
                     Duration aWait,
                     ReadDone aDone) = 0;
  virtual void ListVms(ListDone aDone) = 0;
};

} // namespace verbenachute
