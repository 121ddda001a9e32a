#pragma once

#include <LibConfiguration/AskTable.h>
#include <LibConfiguration/BackoffSchedule.h>
#include <LibConfiguration/FollowerAction.h>
#include <LibConfiguration/PartFetch.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace verbenachute {

/// Decides which revision of the configuration a node has in force. It takes
/// only larger revisions, whether from the store's watch, a read or a peer,
/// and only whole: all parts of a head come into force together. Its first
/// one it takes from the store, or from the newest of a majority of peers.
class ConfigurationFollower
{
public:
  using Actions = std::vector<FollowerAction>;

  explicit ConfigurationFollower(NodeName aSelf);

  /// Begins to read; call once.
  [[nodiscard]] Actions Start(Instant aNow);
  /// Carries out what has become due; call by NextWake at the latest.
  [[nodiscard]] Actions OnTick(Instant aNow);
  [[nodiscard]] Instant NextWake() const;

  /// The live nodes of this node's cell, itself included or not. A few of
  /// them, chosen by rendezvous hashing, watch the store for the others.
  void OnPeers(std::vector<NodeName> aPeers, Instant aNow);

  /// A peer or voter tells the revision that it has in force. aConfirmed is
  /// an Instant of this process at which that revision was the latest: when
  /// this node asked the peer, less the age of the confirmation that the peer
  /// told. Without a question of this node's own it is none.
  [[nodiscard]] Actions OnPeerRevision(const NodeName& aPeer,
                                       Revision aRevision,
                                       std::optional<Instant> aConfirmed,
                                       Instant aNow);

  /// A head that was read or watched. aKeyRevision is the revision of the
  /// key in the store, 0 from a peer.
  [[nodiscard]] Actions OnHead(AskId aAsk,
                               const ConfigurationSource& aSource,
                               const std::string& aText,
                               std::uint64_t aKeyRevision,
                               Instant aNow);
  /// The source has no configuration.
  [[nodiscard]] Actions OnNoHead(AskId aAsk, Instant aNow);
  /// A watch ended without a change.
  [[nodiscard]] Actions OnUnchanged(AskId aAsk, Instant aNow);
  [[nodiscard]] Actions OnPart(AskId aAsk,
                               const PartName& aPart,
                               std::shared_ptr<const std::string> aText,
                               Instant aNow);
  /// A read or watch failed, timed out, or found no part.
  [[nodiscard]] Actions OnFailure(AskId aAsk, Instant aNow);

  /// This node wrote the configuration to the store itself; aSent is when it
  /// sent the compare-and-swap that took effect.
  [[nodiscard]] Actions OnWritten(const EncodedConfiguration& aWritten,
                                  Instant aSent,
                                  Instant aNow);

  /// What is in force, or null before the first configuration.
  [[nodiscard]] const std::shared_ptr<const Configuration>& InForce() const
  {
    return mInForce;
  }
  /// Revision in force, 0 before the first configuration.
  [[nodiscard]] Revision RevisionInForce() const;
  /// Largest revision that any source is known to have.
  [[nodiscard]] Revision RevisionKnown() const { return mKnown; }
  /// The last Instant at which the revision in force was the latest, as far
  /// as store or peers confirmed; none if never.
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
  enum class AskKind
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

  /// A question that has not been answered yet.
  struct Ask
  {
    AskKind mKind = AskKind::Head;
    ConfigurationSource mSource;
    PartName mPart;
    Instant mAsked;
    Instant mGivenUp;
  };

  [[nodiscard]] bool IsStoreReader() const;
  void AskStore(Instant aNow, Actions* aActions);
  void AskPeer(const NodeName& aPeer, Instant aNow, Actions* aActions);
  void ScheduleStore(Instant aNow);
  void HandleFailure(const Ask& aAsk, Instant aNow, Actions* aActions);
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
  /// Revisions that peers told, for choosing sources.
  std::map<NodeName, Revision> mPeerRevisions;

  AskTable<Ask> mAsks;
  BackoffSchedule mStoreBackoff;
  BackoffSchedule mPartBackoff;
  /// When the store is asked for the head again.
  Instant mStoreDue;
  /// The store's revision of the head key that was seen last; a watch needs
  /// one, so none means that a read goes first.
  std::optional<std::uint64_t> mKeyRevision;

  std::shared_ptr<const Configuration> mInForce;
  ConfigurationHead mHead;
  std::string mHeadText;
  ConfigurationParts mParts;
  std::optional<Instant> mConfirmed;
  Revision mKnown;
  /// Largest revision whose parts were whole but made no configuration.
  Revision mRefused;
  std::optional<PartFetch> mFetch;
};

} // namespace verbenachute
