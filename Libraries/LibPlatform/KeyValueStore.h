#pragma once

#include <LibCore/Error.h>
#include <LibCore/StoreEra.h>
#include <LibCore/Strong.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace verbenachute {

/// Revision that the store gives to one key; 0 for a key that does not exist.
using KeyRevision = Strong<struct KeyRevisionTag, std::uint64_t>;

struct StoredValue
{
  std::string mValue;
  KeyRevision mRevision;
  /// The era of the store to which the revision belongs.
  StoreEra mEra = StoreEra();
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

/// A key-value service with compare-and-swap. Each call ends with one call of
/// its function; an error of the step Store with the code OutcomeUnknown tells
/// that a write may have taken effect.
class KeyValueStore
{
public:
  using ReadDone =
    std::function<void(const Result<std::optional<StoredValue>>&)>;
  using SwapDone = std::function<void(const Result<SwapOutcome>&)>;

  virtual ~KeyValueStore() = default;

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
};

} // namespace verbenachute
