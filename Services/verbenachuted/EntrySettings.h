#pragma once

#include <LibCore/Identifiers.h>
#include <LibEntry/GracefulShutdown.h>
#include <LibForward/ForwardSettings.h>
#include <LibGossip/GossipTable.h>
#include <LibHttp/HttpServerConnection.h>
#include <LibHttp/ResourceShares.h>
#include <LibQuota/QuotaRule.h>
#include <LibRollout/RolloutRule.h>
#include <LibRouting/ServingPlan.h>
#include <LibSettings/Settings.h>

namespace verbenachute {

/// The functions below derive the settings of a node's components from those of
/// the daemon.
[[nodiscard]] ForwardSettings
EngineSettings(const Settings& aSettings, const NodeIdentity& aSelf);

/// The status that the node gossips about itself at its start.
[[nodiscard]] NodeStatus
InitialStatus(const Settings& aSettings, const NodeIdentity& aSelf);

[[nodiscard]] GossipTable::Settings
GossipSettings(const NodeIdentity& aSelf);

[[nodiscard]] GracefulShutdown::Settings
GracefulShutdownSettings(const Settings& aSettings);

[[nodiscard]] RolloutRule
RolloutRuleOf(const Settings& aSettings);

[[nodiscard]] QuotaRule
QuotaRuleOf(const Settings& aSettings);

/// Takes what the settings leave open from the machine.
[[nodiscard]] ResourceShares
SharesOf(const Settings& aSettings);

/// Limits of the port that serves callers.
[[nodiscard]] ServerLimits
LimitsOf(const CallerLimits& aLimits);

} // namespace verbenachute
