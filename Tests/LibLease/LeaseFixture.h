#pragma once

#include <LibLease/LeaseHolder.h>
#include <LibLease/LeaseVoter.h>

#include <doctest/doctest.h>

#include <string>

namespace verbenachute {

inline NodeIdentity
Node(int aNumber, std::uint64_t aIncarnation = 1)
{
  return { NodeName("node-" + std::to_string(aNumber)),
           Incarnation(aIncarnation) };
}

inline Roster
RosterOf(int aCount, std::uint64_t aEpoch = 1)
{
  Roster roster{ RosterEpoch(aEpoch), {} };
  for (int number = 1; number <= aCount; ++number) {
    roster.mVoters.push_back(Node(number).mName);
  }
  return roster;
}

template<typename Action>
std::vector<Action>
Only(const LeaseActions& aActions)
{
  std::vector<Action> found;
  for (const LeaseAction& action : aActions) {
    if (const Action* wanted = std::get_if<Action>(&action)) {
      found.push_back(*wanted);
    }
  }
  return found;
}

/// Three voters and one holder on one clock; each message is delivered by the
/// test.
class LeaseFixture
{
public:
  const FailureDomain mDomain{ "caxias-a" };
  const Bucket mBucket{ mDomain, 3 };
  LeaseSettings mSettings;
  Instant mNow{ seconds(1000) };
  std::vector<LeaseVoter> mVoters;
  LeaseHolder mHolder{ Node(1), mSettings };

  LeaseFixture()
  {
    for (int number = 1; number <= 3; ++number) {
      mVoters.emplace_back(Node(number), mSettings, mNow);
      mVoters.back().OnStoreRoster(RosterOf(3));
    }
    mHolder.OnRoster(RosterOf(3), mNow);
    mHolder.OnDomains({ mDomain }, mNow);
    mHolder.OnMembers({ { Node(1).mName, mDomain } }, mNow);
    Pass(seconds(4));
  }

  /// Lets time pass at the voters, which are not paused.
  void Pass(Duration aTime)
  {
    const Duration step = milliseconds(100);
    for (Duration passed{ 0 }; passed < aTime; passed += step) {
      mNow += std::min(step, aTime - passed);
      for (LeaseVoter& voter : mVoters) {
        voter.OnTimer(mNow);
      }
    }
  }
  [[nodiscard]] LeaseRequest Ask(int aNode, std::uint64_t aRound) const
  {
    return { Node(aNode), RosterEpoch(1),      aRound,
             { mBucket }, mSettings.mDuration, Revision(0) };
  }
  /// The replies to a round of the holder, not yet delivered.
  std::vector<LeaseReply> Round()
  {
    std::vector<LeaseReply> replies;
    int voter = 0;
    for (const SendLeaseRequest& sent :
         Only<SendLeaseRequest>(mHolder.OnTimer(mNow))) {
      replies.push_back(mVoters[voter++].OnRequest(sent.mRequest, mNow));
    }
    return replies;
  }
  /// A round in which everything arrives at once.
  void Gain()
  {
    for (const LeaseReply& reply : Round()) {
      mHolder.OnReply(reply, mNow);
    }
  }
};

} // namespace verbenachute
