#pragma once

#include "PeerDirectory.h"

#include <LibControl/ControlMethods.h>
#include <LibLease/LeaseHolder.h>
#include <LibLease/LeaseVoter.h>
#include <LibLease/RosterReadSchedule.h>
#include <LibLease/RosterSteward.h>
#include <LibObservation/Logger.h>
#include <LibPlatform/Platform.h>
#include <LibTransport/PeerPort.h>
#include <LibTransport/Timer.h>

#include <set>

namespace verbenachute {

/// Carries out the lease decisions of this node: it votes, holds buckets, and
/// proposes rosters to the platform's store.
class LeaseService
{
public:
  struct Dependencies
  {
    EventLoop& mLoop;
    PeerPort& mPeers;
    const PeerDirectory& mDirectory;
    Platform& mPlatform;
    Logger& mLogger;
  };

  LeaseService(NodeIdentity aSelf,
               Region aRegion,
               const LeaseSettings& aSettings,
               Dependencies aDependencies);

  void Start();

  /// Called about ten times a second: the voter takes a longer silence of
  /// its own timer for a pause and then holds its grants back.
  void OnTick();
  void OnMembers(const std::vector<LeaseMember>& aMembers,
                 const std::set<NodeName>& aListed);
  void OnDomains(const std::vector<FailureDomain>& aDomains);
  void OnRevision(Revision aRevision);
  void OnPeerRoster(const NodeName& aPeer, const Roster& aRoster);
  void OnDrained(const Bucket& aBucket);

  [[nodiscard]] Result<Json::Value> AnswerRequest(const Json::Value& aInput);
  [[nodiscard]] Result<Json::Value> AnswerRelease(const Json::Value& aInput);

  [[nodiscard]] const LeaseHolder& Holder() const;
  [[nodiscard]] const LeaseSettings& Settings() const;
  /// The roster under which this node votes, if it knows one.
  [[nodiscard]] const std::optional<Roster>& CurrentRoster() const;

  [[nodiscard]] sigc::signal<void(const Bucket&)>& Gained();
  [[nodiscard]] sigc::signal<void(const Bucket&)>& Stopping();
  [[nodiscard]] sigc::signal<void(const Bucket&)>& Lost();

private:
  void CarryOut(const LeaseActions& aActions);
  void SendRequest(const SendLeaseRequest& aAction);
  void SendRelease(const SendLeaseRelease& aAction);
  void OnReply(const LeaseReply& aReply);
  void ReadStoreRoster();
  void OnStoreRoster(const Result<std::optional<StoredValue>>& aValue);
  void ConsiderRoster();
  /// Another node told the epoch of the roster that it knows.
  void NoteEpoch(RosterEpoch aEpoch);
  void ArmRosterTimer();
  [[nodiscard]] std::string RosterKey() const;

  NodeIdentity mSelf;
  Region mRegion;
  LeaseSettings mSettings;
  Dependencies mDependencies;
  LeaseVoter mVoter;
  LeaseHolder mHolder;
  RosterSteward mSteward;
  RosterReadSchedule mRosterReads;
  KeyRevision mRosterRevision;
  Timer mHolderTimer;
  Timer mRosterTimer;
  sigc::signal<void(const Bucket&)> mGained;
  sigc::signal<void(const Bucket&)> mStopping;
  sigc::signal<void(const Bucket&)> mLost;
};

} // namespace verbenachute
