#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>

#include <json/json.h>

#include <functional>

namespace verbenachute {

/// Carries out one control call of a peer's life.
using ControlMethod =
  std::function<Result<Json::Value>(const NodeIdentity&, const Json::Value&)>;

/// Names of the JSON-RPC methods between nodes.
inline constexpr const char* kHeartbeatMethod = "heartbeat";
inline constexpr const char* kLeaseRequestMethod = "lease_request";
inline constexpr const char* kLeaseReleaseMethod = "lease_release";
inline constexpr const char* kReadConfigurationMethod = "read_configuration";
inline constexpr const char* kTargetStatesMethod = "target_states";
inline constexpr const char* kPoisonReportMethod = "poison_report";

/// What a node answers to the control calls of its peers.
struct ControlMethods
{
  ControlMethod mHeartbeat;
  ControlMethod mLeaseRequest;
  ControlMethod mLeaseRelease;
  ControlMethod mReadConfiguration;
  ControlMethod mTargetStates;
  ControlMethod mPoisonReport;
};

} // namespace verbenachute
