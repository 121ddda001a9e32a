#pragma once

#include <LibCore/Time.h>
#include <LibMembership/MemberDescription.h>

namespace verbenachute {

/// How this node judges another one now.
enum class MemberState
{
  /// On the VM list or a seed, and never heard.
  Unheard,
  Alive,
  /// Alive, and announced that it leaves.
  Leaving,
  /// Silent for a while. Not offered to callers; refuted by its next
  /// heartbeat.
  Suspect,
  Dead,
};

/// "unheard", "alive", "leaving", "suspect" or "dead".
[[nodiscard]] const char*
MemberStateName(MemberState aState);

/// A node as others see it.
struct Member
{
  MemberDescription mDescription;
  MemberState mState = MemberState::Unheard;
  /// Time since the node proved that it was alive.
  Duration mSilence{ 0 };
};

/// A row of the platform's VM list.
struct ListedVm
{
  NodeName mName;
  SocketAddress mCallerAddress;
  SocketAddress mPeerAddress;
  SocketAddress mOperatorAddress;
  FailureDomain mDomain;
  Region mRegion;
  MemberPhase mPhase = MemberPhase::Live;
};

/// What a MemberTable noticed, for the log and for those who depend on it.
struct MemberChange
{
  enum class Kind
  {
    Joined,
    /// A newer life took the place of an earlier one.
    Replaced,
    Leaving,
    Suspected,
    Refuted,
    Died,
    /// Another node uses this node's name with a newer incarnation; this one
    /// has to end.
    SelfReplaced,
  };

  Kind mKind;
  NodeIdentity mMember;
};

} // namespace verbenachute
