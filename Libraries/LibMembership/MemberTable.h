#pragma once

#include <LibCore/Time.h>
#include <LibMembership/Member.h>
#include <LibMembership/MemberHeartbeat.h>
#include <LibMembership/MemberSettings.h>
#include <LibMembership/ProbeSchedule.h>
#include <LibMembership/RumourQueue.h>

#include <array>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace verbenachute {

/// A heartbeat to send.
struct OutgoingHeartbeat
{
  SocketAddress mPeerAddress;
  /// Empty if only an address is known, from a seed.
  NodeName mPeer;
  MemberHeartbeat mHeartbeat;
};

/// What one period of a MemberTable asks for.
struct MemberActions
{
  std::vector<OutgoingHeartbeat> mSend;
  std::vector<MemberChange> mChanges;
};

/// The nodes that this node knows, from the platform's VM list, from seeds
/// and from heartbeats.
///
/// A node's proof of life is as old as the heartbeat of this node that it
/// echoes, not as the arrival of its own: messages that waited in a socket
/// while this node was frozen or the network cut prove nothing new.
class MemberTable
{
public:
  /// aSeed feeds the choice of the nodes that are probed outside the cell.
  MemberTable(MemberDescription aSelf,
              MemberSettings aSettings,
              std::uint64_t aSeed,
              Instant aNow);

  /// Takes the platform's list; it adds nodes to get to know, and removes
  /// none that is heard.
  void OnVmList(const std::vector<ListedVm>& aList, Instant aNow);
  /// A peer address from the settings, for when the platform is down.
  void AddSeed(const SocketAddress& aPeerAddress);
  std::vector<MemberChange> OnHeartbeat(const MemberHeartbeat& aHeartbeat,
                                        Instant aNow);
  /// Sends heartbeats when their period is over and notices silence. Called
  /// often, such as every 100 ms.
  MemberActions Tick(Instant aNow);
  /// This process did not run until now: the silence of the others says
  /// nothing, so none is declared dead for it.
  void OnWake(Instant aNow);

  /// What this node tells of itself; takes effect with the next heartbeat.
  [[nodiscard]] MemberDescription& Self() { return mSelf; }
  [[nodiscard]] const MemberDescription& Self() const { return mSelf; }

  /// All other nodes, by name.
  [[nodiscard]] std::vector<Member> Members(Instant aNow) const;
  /// The present life of a node other than this one.
  [[nodiscard]] std::optional<Member> Find(const NodeName& aName,
                                           Instant aNow) const;
  /// The nodes that callers may be sent to, this one included unless it
  /// leaves. Never one that announced its leave to this node.
  [[nodiscard]] std::vector<MemberDescription> Offered(Instant aNow) const;
  /// Peers that may still name this leaving node to callers: heard, not
  /// dead, and without a confirmation.
  [[nodiscard]] std::vector<NodeIdentity> Unconfirmed(Instant aNow) const;
  /// After this time from its announcement no peer names a leaving node,
  /// whether it confirmed or not.
  [[nodiscard]] Duration LongestOffer() const;

private:
  enum class Listing
  {
    Unlisted,
    Live,
    Leaving,
  };

  enum class Confirmation
  {
    None,
    SeenLeaving,
  };

  struct Entry
  {
    MemberDescription mDescription;
    Listing mListing = Listing::Unlisted;
    /// Counter of the newest heartbeat that is known of; 0 for none.
    std::uint64_t mCounter = 0;
    /// Counter of the newest heartbeat that came from the node itself.
    std::uint64_t mHeardCounter = 0;
    /// Counter up to which others call the node dead.
    std::uint64_t mDeadRumour = 0;
    /// When the newest proof of life was at least true; nothing if unheard.
    std::optional<Instant> mFreshAt;
    /// When the node was last heard at all, itself or by rumour.
    Instant mHeardAt;
    /// The silence before this instant does not count towards death.
    Instant mWaitFrom;
    MemberState mReported = MemberState::Unheard;
    Confirmation mConfirmation = Confirmation::None;
  };

  bool IsFresh(const Entry& aEntry, Instant aNow) const;
  MemberState StateOf(const Entry& aEntry, Instant aNow) const;
  Member MemberOf(const Entry& aEntry, Instant aNow) const;
  static std::optional<MemberChange::Kind> ChangeBetween(MemberState aBefore,
                                                         MemberState aAfter);
  void TakeListed(const ListedVm& aVm, Instant aNow);
  void Take(const MemberHeartbeat& aHeartbeat, Entry& aEntry, Instant aNow);
  void TakeEcho(const MemberHeartbeat& aHeartbeat, Entry& aEntry) const;
  void TakeRumour(const MemberRumour& aRumour,
                  Instant aNow,
                  std::vector<MemberChange>* aChanges);
  Entry* EntryFor(const MemberDescription& aMember,
                  std::vector<MemberChange>* aChanges);
  void Report(Entry& aEntry, Instant aNow, std::vector<MemberChange>* aChanges);
  void SendAll(Instant aNow, MemberActions* aActions);
  void ForgetDead(Instant aNow);
  MemberHeartbeat HeartbeatFor(const Entry* aEntry);
  std::vector<NodeName> NamesIn(const std::optional<Region>& aRegion) const;
  void PassOn(MemberRumour::Kind aKind, const Entry& aEntry);
  std::optional<Instant> SentAt(std::uint64_t aCounter) const;

  /// Heartbeats whose time of sending is remembered; older echoes are no
  /// proof of life.
  static constexpr std::size_t kSentRemembered = 64;

  MemberDescription mSelf;
  MemberSettings mSettings;
  std::map<NodeName, Entry> mMembers;
  std::set<SocketAddress> mSeeds;
  ProbeSchedule mSchedule;
  RumourQueue mRumours;
  std::uint64_t mCounter = 0;
  std::array<Instant, kSentRemembered> mSentAt{};
  std::optional<Instant> mLastSent;
};

} // namespace verbenachute
