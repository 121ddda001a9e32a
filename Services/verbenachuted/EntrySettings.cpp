#include "EntrySettings.h"

#include <LibCore/Verify.h>

#include <algorithm>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace verbenachute {

namespace {

// Attempt numbers start at the incarnation shifted by this many bits, so that a
// reply to an earlier incarnation of this node matches no attempt of this one.
constexpr unsigned kIncarnationShift = 20;

LoadAdmissionMode
LoadAdmissionModeOf(const Settings& aSettings)
{
  if (aSettings.LoadAdmissionName() == "auto") {
    return LoadAdmissionMode::Automatic;
  }
  return aSettings.LoadAdmissionName() == "on" ? LoadAdmissionMode::On
                                               : LoadAdmissionMode::Off;
}

} // namespace

ForwardSettings
EngineSettings(const Settings& aSettings, const NodeIdentity& aSelf)
{
  ForwardSettings settings;
  settings.mDomain = aSettings.HomeDomain();
  settings.mBudgetLimits = AttemptBudgetLimits{ aSettings.RetryRatio(),
                                                aSettings.RetrySlack(),
                                                aSettings.RetryWindow() };
  settings.mHedging = aSettings.HedgePolicyName() == "none"
                        ? ForwardHedging::Never
                        : ForwardHedging::Adaptive;
  settings.mPartialAnswers = aSettings.PartialAnswerMode() == "last"
                               ? PartialAnswers::WhenMissingShardsFailed
                               : PartialAnswers::AtObjective;
  settings.mGathering = aSettings.GatheringMode() == "direct"
                          ? ShardGathering::Direct
                          : ShardGathering::ViaPeer;
  settings.mLoadAdmission = LoadAdmissionModeOf(aSettings);
  settings.mMaximumRunning = aSettings.QueryLimit();
  settings.mFirstAttempt =
    AttemptId(aSelf.mIncarnation.value() << kIncarnationShift);
  settings.mSeed = aSelf.mIncarnation.value();
  return settings;
}

NodeStatus
InitialStatus(const Settings& aSettings, const NodeIdentity& aSelf)
{
  NodeStatus status;
  status.mIdentity = aSelf;
  status.mCallerAddress = aSettings.CallerAddress();
  status.mPeerAddress = aSettings.PeerAddress();
  if (aSettings.GatherAddress().has_value()) {
    status.mGatherAddress = *aSettings.GatherAddress();
  }
  status.mDomain = aSettings.HomeDomain();
  status.mCpuMillicores = aSettings.ProcessorPower();
  return status;
}

GossipTable::Settings
GossipSettings(const NodeIdentity& aSelf)
{
  GossipTable::Settings settings;
  settings.mSeed = aSelf.mIncarnation.value();
  return settings;
}

GracefulShutdown::Settings
GracefulShutdownSettings(const Settings& aSettings)
{
  return GracefulShutdown::Settings{ aSettings.GracePeriod(),
                                     aSettings.AddressValidity() };
}

QuotaRule
QuotaRuleOf(const Settings& aSettings)
{
  return QuotaRule{ aSettings.QuotaWindow(),
                    aSettings.QuotaOvershoot(),
                    aSettings.QuotaSlack() };
}

RolloutRule
RolloutRuleOf(const Settings& aSettings)
{
  return RolloutRule{ aSettings.CanaryShare(),
                      aSettings.CanarySlack(),
                      aSettings.RollbackTime() };
}

ResourceShares
SharesOf(const Settings& aSettings)
{
  constexpr std::size_t kMegabyte = 1024UL * 1024;
  std::size_t memory = aSettings.MemoryMegabytes() * kMegabyte;
  struct sysinfo machine = {};
  if (memory == 0) {
    VERIFY(sysinfo(&machine) == 0);
    memory = static_cast<std::size_t>(machine.totalram) * machine.mem_unit;
  }
  rlimit limit{};
  VERIFY(getrlimit(RLIMIT_NOFILE, &limit) == 0);
  std::size_t descriptors = static_cast<std::size_t>(limit.rlim_cur);
  if (aSettings.Descriptors() > 0) {
    descriptors =
      std::min(descriptors, static_cast<std::size_t>(aSettings.Descriptors()));
  }
  return DivideResources(memory, descriptors);
}

ServerLimits
LimitsOf(const CallerLimits& aLimits)
{
  ServerLimits limits;
  limits.mMessage.mHeaderBytes = aLimits.mHeaderBytes;
  limits.mMessage.mBodyBytes = aLimits.mBodyBytes;
  limits.mHeaderTimeout = aLimits.mHeaderTimeout;
  limits.mIdleTimeout = aLimits.mIdleTimeout;
  return limits;
}

} // namespace verbenachute
