#pragma once

#include <LibConfiguration/BackoffSchedule.h>
#include <LibConfiguration/FollowerAction.h>
#include <LibConfiguration/PartFetch.h>
#include <LibConfiguration/PendingCalls.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace verbenachute {

/// Decides which revision of the configuration is in force on a node. It adopts
/// only larger revisions, whether from a watch, a read or a peer, and all parts
/// of a head come into force together. The first one comes from the store, or
/// is the newest of a majority of peers.
class ConfigurationFollower
{
public:
  using Actions = std::vector<FollowerAction>;

  explicit ConfigurationFollower(NodeName aSelf);

  /// Starts to read; to be called once.
  [[nodiscard]] Actions Start(Instant aNow);
  /// Performs what is due; to be called at NextWake at the latest.
  [[nodiscard]] Actions OnTick(Instant aNow);
  [[nodiscard]] Instant NextWake() const;

  /// The live nodes of this node's cell, itself included or not. A few of
  /// them, chosen by rendezvous hashing, watch the store for the others.
  void OnPeers(std::vector<NodeName> aPeers, Instant aNow);

  /// A peer or voter reports the revision that is in force on it. aConfirmed is
  /// a time at which that revision was the latest: when this node called the
  /// peer, less the age of the confirmation that the peer reported. It is empty
  /// if this node did not call.
  [[nodiscard]] Actions OnPeerRevision(const NodeName& aPeer,
                                       Revision aRevision,
                                       std::optional<Instant> aConfirmed,
                                       Instant aNow);

  /// A head that was read or watched. aKeyRevision is the revision of the
  /// key in the store, 0 from a peer.
  [[nodiscard]] Actions OnHead(CallId aCall,
                               const ConfigurationSource& aSource,
                               const std::string& aText,
                               std::uint64_t aKeyRevision,
                               Instant aNow);
  /// The source has no configuration.
  [[nodiscard]] Actions OnNoHead(CallId aCall, Instant aNow);
  /// A watch ended without a change.
  [[nodiscard]] Actions OnUnchanged(CallId aCall, Instant aNow);
  [[nodiscard]] Actions OnPart(CallId aCall,
                               const PartName& aPart,
                               std::shared_ptr<const std::string> aText,
                               Instant aNow);
  /// A read or watch failed, timed out, or found no part.
  [[nodiscard]] Actions OnFailure(CallId aCall, Instant aNow);

  /// This node wrote the configuration to the store itself; aSent is when it
  /// sent the compare-and-swap that took effect.
  [[nodiscard]] Actions OnWritten(const EncodedConfiguration& aWritten,
                                  Instant aSent,
                                  Instant aNow);

  /// The configuration in force; null before the first one.
  [[nodiscard]] const std::shared_ptr<const Configuration>& InForce() const
  {
    return mInForce;
  }
  /// Revision in force, 0 before the first configuration.
  [[nodiscard]] Revision RevisionInForce() const;
  /// Largest revision that any source is known to have.
  [[nodiscard]] Revision RevisionKnown() const { return mKnown; }
  /// The last time at which the store or peers confirmed that the revision in
  /// force was the latest; empty if they never have.
  [[nodiscard]] std::optional<Instant> Confirmed() const { return mConfirmed; }
  /// Whether the revision in force was confirmed within aAge before aNow, and
  /// no larger one is known.
  [[nodiscard]] bool IsFresh(Instant aNow, Duration aAge) const;

  /// The head in force, for peers and writers.
  [[nodiscard]] const ConfigurationHead& Head() const { return mHead; }
  /// For peers: the head in force as text, empty if there is none.
  [[nodiscard]] const std::string& HeadText() const { return mHeadText; }
  /// For peers: a part of the revision in force, or null.
  [[nodiscard]] std::shared_ptr<const std::string> FindPart(
    const PartName& aPart) const;

private:
  enum class CallKind
  {
    Head,
    Watch,
    Part,
  };

  enum class HeadUse
  {
    Taken,
    /// Damaged, older than what is in force, or without a configuration.
    Refused,
  };

  /// A call without a reply.
  struct Call
  {
    CallKind mKind = CallKind::Head;
    ConfigurationSource mSource;
    PartName mPart;
    Instant mSentTime;
    Instant mDeadline;
  };

  [[nodiscard]] bool IsStoreReader() const;
  void CallStore(Instant aNow, Actions* aActions);
  void CallPeer(const NodeName& aPeer, Instant aNow, Actions* aActions);
  void ScheduleStore(Instant aNow);
  void HandleFailure(const Call& aCall, Instant aNow, Actions* aActions);
  [[nodiscard]] HeadUse TakeHead(const ConfigurationSource& aSource,
                                 const std::string& aText,
                                 std::optional<Instant> aConfirmed,
                                 Instant aNow,
                                 Actions* aActions);
  void BeginFetch(PartFetch aFetch, Instant aNow, Actions* aActions);
  void ContinueFetch(Instant aNow, Actions* aActions);
  [[nodiscard]] bool MayAdopt(const PartFetch& aFetch) const;
  void FinishFetch(Actions* aActions);
  void Adopt(std::shared_ptr<const Configuration> aConfiguration,
             const ConfigurationHead& aHead,
             ConfigurationParts aParts,
             Actions* aActions);
  void Confirm(std::optional<Instant> aConfirmed);

  NodeName mSelf;
  std::vector<NodeName> mPeers;
  /// Revisions that peers have reported, for the choice of sources.
  std::map<NodeName, Revision> mPeerRevisions;

  PendingCalls<Call> mCalls;
  BackoffSchedule mStoreBackoff;
  BackoffSchedule mPartBackoff;
  /// When the head is next read from the store.
  Instant mStoreDue;
  /// The store's latest known revision of the head key. Without one, a read
  /// has to precede the watch.
  std::optional<std::uint64_t> mKeyRevision;

  std::shared_ptr<const Configuration> mInForce;
  ConfigurationHead mHead;
  std::string mHeadText;
  ConfigurationParts mParts;
  std::optional<Instant> mConfirmed;
  Revision mKnown;
  /// Largest revision whose parts were complete but could not be decoded.
  Revision mRefused;
  std::optional<PartFetch> mFetch;
};

} // namespace verbenachute
