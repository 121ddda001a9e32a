#include "EntrySettings.h"

namespace verbenachute {

namespace {

// Attempt numbers start at the incarnation shifted by this many bits, so that a
// reply to an earlier incarnation of this node matches no attempt of this one.
constexpr unsigned kIncarnationShift = 20;

} // namespace

ForwardSettings
EngineSettings(const Settings& aSettings, const NodeIdentity& aSelf)
{
  ForwardSettings settings;
  settings.mDomain = aSettings.HomeDomain();
  settings.mExtra = ExtraLimits{ aSettings.RetryRatio(),
                                 aSettings.RetrySlack(),
                                 aSettings.RetryWindow() };
  settings.mHedging = aSettings.HedgePolicyName() == "none"
                        ? ForwardHedging::Never
                        : ForwardHedging::Adaptive;
  settings.mPartial = aSettings.PartialAnswersName() == "last"
                        ? PartialAnswers::WhenNothingIsLeft
                        : PartialAnswers::AtObjective;
  settings.mGathering = aSettings.GatheringName() == "direct"
                          ? ShardGathering::Direct
                          : ShardGathering::NearTargets;
  settings.mMaximumRunning = aSettings.QueryLimit();
  settings.mFirstAttempt =
    AttemptId(aSelf.mIncarnation.value() << kIncarnationShift);
  settings.mSeed = aSelf.mIncarnation.value();
  return settings;
}

NodeNews
NewsOf(const Settings& aSettings, const NodeIdentity& aSelf)
{
  NodeNews status;
  status.mIdentity = aSelf;
  status.mCallerAddress = aSettings.CallerAddress();
  status.mPeerAddress = aSettings.PeerAddress();
  if (aSettings.GatherAddress().has_value()) {
    status.mGatherAddress = *aSettings.GatherAddress();
  }
  status.mDomain = aSettings.HomeDomain();
  status.mPower = aSettings.ProcessorPower();
  return status;
}

GossipTable::Settings
GossipSettings(const NodeIdentity& aSelf)
{
  GossipTable::Settings settings;
  settings.mSeed = aSelf.mIncarnation.value();
  return settings;
}

NodeDeparture::Settings
DepartureSettings(const Settings& aSettings)
{
  return NodeDeparture::Settings{ aSettings.Grace(),
                                  aSettings.AddressValidity() };
}

ServerLimits
LimitsOf(const CallerLimits& aLimits)
{
  ServerLimits limits;
  limits.mMessage.mHeaderBytes = aLimits.mHeaderBytes;
  limits.mMessage.mBodyBytes = aLimits.mBodyBytes;
  limits.mHeader = aLimits.mHeaderTime;
  limits.mIdle = aLimits.mIdleTime;
  return limits;
}

} // namespace verbenachute
