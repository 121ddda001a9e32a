#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <optional>

namespace verbenachute {

/// Identity of one sending that waits in this process for an outcome: a
/// caller's connection or a peer's relay. Chosen by the daemon.
using WaiterId = Strong<struct WaiterIdTag, std::uint64_t>;

/// What makes two sendings the same request.
struct OnceKey
{
  CallerId mCaller;
  RequestId mRequest;

  friend bool operator==(const OnceKey&, const OnceKey&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): the rewritten 0 is no pointer.
  friend auto operator<=>(const OnceKey&, const OnceKey&) = default;
};

/// Who sent a request to this node.
enum class OnceOrigin
{
  Caller,
  /// A node that relays it. It is not relayed a second time.
  Peer,
};

/// One sending of a non-idempotent request, as it reaches the OnceTable.
struct OnceRequest
{
  OnceKey mKey;
  /// Hash of what is asked; see FingerprintOf.
  Fingerprint mFingerprint;
  std::optional<NodeIdentity> mTicket;
  OnceOrigin mOrigin = OnceOrigin::Caller;
  WaiterId mWaiter;
  /// Time that is left until this sending has to be answered.
  Duration mTimeLeft{ 0 };
};

} // namespace verbenachute
