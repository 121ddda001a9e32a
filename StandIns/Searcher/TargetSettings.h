#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <json/value.h>

#include <map>
#include <string>
#include <vector>

namespace verbenachute::standins {

/// Shape of one searcher, as a line of the targets file gives it.
struct TargetSettings
{
  TargetName mName;
  ServiceName mService;
  FailureDomain mDomain;
  SocketAddress mAddress;
  std::uint32_t mSlots = 1;
  std::uint32_t mConnections = 1;
  Duration mConnectCost{ 0 };
  /// The searcher holds each shard whose number leaves the remainder
  /// mPosition when divided by mPositions.
  std::uint32_t mPosition = 0;
  std::uint32_t mPositions = 1;
  /// Number of shards of each index version.
  std::map<IndexVersion, std::uint32_t> mVersions;
  /// Median of the log-normal service time, and its sigma.
  Duration mMedianService{ 0 };
  double mSigma = 0;
  /// Requests that the searcher bears at one time while it is cold.
  std::uint32_t mColdSlots = 1;
  /// Factor on the service time while it is cold.
  double mColdFactor = 1;
};

/// Reads the settings of one target; missing fields take the values of a
/// small searcher.
[[nodiscard]] Result<TargetSettings>
ReadTargetSettings(const Json::Value& aEntry);

} // namespace verbenachute::standins
