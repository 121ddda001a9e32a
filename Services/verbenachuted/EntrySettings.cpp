#include "EntrySettings.h"

namespace verbenachute {

namespace {

// Attempts are numbered from the incarnation, so that an answer that was
// meant for an earlier life of this node matches none of this life.
constexpr unsigned kLifeShift = 20;

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
  settings.mFirstAttempt = AttemptId(aSelf.mIncarnation.value() << kLifeShift);
  settings.mSeed = aSelf.mIncarnation.value();
  return settings;
}

NodeNews
NewsOf(const Settings& aSettings, const NodeIdentity& aSelf)
{
  NodeNews news;
  news.mIdentity = aSelf;
  news.mCallerAddress = aSettings.CallerAddress();
  news.mPeerAddress = aSettings.PeerAddress();
  if (aSettings.GatherAddress().has_value()) {
    news.mGatherAddress = *aSettings.GatherAddress();
  }
  news.mDomain = aSettings.HomeDomain();
  news.mPower = aSettings.ProcessorPower();
  return news;
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
