#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibSettings/RawSettings.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// The validated settings of one daemon.
class Settings
{
public:
  /// Validates every setting. The error is InvalidInput at step Settings; for
  /// an invalid value its message gives the flag, the value and the allowed
  /// values.
  [[nodiscard]] static Result<Settings> Create(const RawSettings& aRaw);

  [[nodiscard]] const NodeName& Name() const { return mName; }
  [[nodiscard]] const Region& HomeRegion() const { return mRegion; }
  [[nodiscard]] const FailureDomain& HomeDomain() const { return mDomain; }
  [[nodiscard]] const SocketAddress& CallerAddress() const
  {
    return mCallerAddress;
  }
  [[nodiscard]] const SocketAddress& PeerAddress() const
  {
    return mPeerAddress;
  }
  /// Address at which this node gathers shards for other nodes; nothing if it
  /// does not.
  [[nodiscard]] const std::optional<SocketAddress>& GatherAddress() const
  {
    return mGatherAddress;
  }
  [[nodiscard]] const SocketAddress& OperatorAddress() const
  {
    return mOperatorAddress;
  }
  [[nodiscard]] const SocketAddress& PlatformAddress() const
  {
    return mPlatformAddress;
  }
  /// Peer addresses to try when the platform's VM list is not available.
  [[nodiscard]] const std::vector<SocketAddress>& Seeds() const
  {
    return mSeeds;
  }
  /// The known failure domains of the deployment and their regions; empty if
  /// none are configured.
  [[nodiscard]] const std::map<FailureDomain, Region>& Domains() const
  {
    return mDomains;
  }
  /// How long callers may cache the response to an address lookup.
  [[nodiscard]] Duration AddressValidity() const { return mAddressValidity; }
  /// How long a ticket for non-idempotent requests is valid.
  [[nodiscard]] Duration TicketValidity() const { return mTicketValidity; }
  /// Longest time that a graceful shutdown waits for work in flight.
  [[nodiscard]] Duration DrainLimit() const { return mDrainLimit; }
  /// Largest number of queries that may run on this node at the same time.
  [[nodiscard]] std::uint32_t QueryLimit() const { return mQueryLimit; }
  /// When hedges are sent: "adaptive", "fixed" or "none".
  [[nodiscard]] const std::string& HedgePolicyName() const
  {
    return mHedgePolicy;
  }
  /// Hedges and retries that are allowed for each 1000 first attempts.
  [[nodiscard]] std::uint32_t ExtraLoadPerMille() const
  {
    return mExtraLoadPerMille;
  }

  /// Whether work goes to a target through its holder or straight from each
  /// node: "holders" or "direct".
  [[nodiscard]] const std::string& DispatchMode() const { return mDispatch; }
  /// Address of the readiness endpoint for the platform; nothing if there is
  /// none.
  [[nodiscard]] const std::optional<SocketAddress>& ReadyAddress() const
  {
    return mReadyAddress;
  }
  /// Address at which callers look up where to connect; nothing if this node
  /// does not serve such lookups.
  [[nodiscard]] const std::optional<SocketAddress>& DirectoryAddress() const
  {
    return mDirectoryAddress;
  }
  /// Additional attempts that are allowed for each request to a service, over
  /// all nodes.
  [[nodiscard]] double RetryRatio() const { return mRetryRatio; }
  /// Window in which additional attempts are counted.
  [[nodiscard]] Duration RetryWindow() const { return mRetryWindow; }
  /// Additional attempts that are allowed for a service in each window beyond
  /// the ratio, over all nodes.
  [[nodiscard]] double RetrySlack() const { return mRetrySlack; }
  /// Window in which the requests of a tenant are counted.
  [[nodiscard]] Duration QuotaWindow() const { return mQuotaWindow; }
  /// Share of its quota by which a tenant may exceed it in a window.
  [[nodiscard]] double QuotaOvershoot() const { return mQuotaOvershoot; }
  /// Requests by which a tenant may exceed its quota in a window besides.
  [[nodiscard]] double QuotaSlack() const { return mQuotaSlack; }
  /// Share of a service's requests that a bad version may get.
  [[nodiscard]] double CanaryShare() const { return mCanaryShare; }
  /// Requests that a bad version may get besides.
  [[nodiscard]] double CanarySlack() const { return mCanarySlack; }
  /// Time from the 50th bad response of a version to its last request.
  [[nodiscard]] Duration RollbackTime() const { return mRollbackTime; }
  /// Time from SIGTERM until the process is killed.
  [[nodiscard]] Duration GracePeriod() const { return mGrace; }
  /// Memory that the process may take, in MB; 0: as the machine has.
  [[nodiscard]] std::uint32_t MemoryMegabytes() const { return mMemory; }
  /// Descriptors that the process may open; 0: as its limit allows.
  [[nodiscard]] std::uint32_t Descriptors() const { return mDescriptors; }
  /// Processing capacity of this VM in thousandths of a core of speed 1; at
  /// least 1.
  [[nodiscard]] std::uint32_t ProcessorPower() const { return mProcessorPower; }
  /// "auto", "off" or "on".
  [[nodiscard]] const std::string& LoadAdmissionName() const
  {
    return mLoadAdmission;
  }
  /// Whether shards that only other domains hold are gathered by a peer there
  /// or requested by this node: "near" or "direct".
  [[nodiscard]] const std::string& GatheringMode() const { return mGathering; }
  /// Whether a query is answered without slow shards at its latency objective
  /// or only when they can no longer respond: "at_objective" or "last".
  [[nodiscard]] const std::string& PartialAnswerMode() const
  {
    return mPartialAnswers;
  }

private:
  Settings() = default;

  NodeName mName;
  Region mRegion;
  FailureDomain mDomain;
  SocketAddress mCallerAddress;
  SocketAddress mPeerAddress;
  std::optional<SocketAddress> mGatherAddress;
  SocketAddress mOperatorAddress;
  SocketAddress mPlatformAddress;
  std::vector<SocketAddress> mSeeds;
  std::map<FailureDomain, Region> mDomains;
  Duration mAddressValidity{ 0 };
  Duration mTicketValidity{ 0 };
  Duration mDrainLimit{ 0 };
  std::uint32_t mQueryLimit = 0;
  std::string mHedgePolicy;
  std::uint32_t mExtraLoadPerMille = 0;
  std::string mDispatch;
  std::optional<SocketAddress> mReadyAddress;
  std::optional<SocketAddress> mDirectoryAddress;
  double mRetryRatio = 0;
  Duration mRetryWindow{ 0 };
  double mRetrySlack = 0;
  Duration mQuotaWindow{ 0 };
  double mQuotaOvershoot = 0;
  double mQuotaSlack = 0;
  double mCanaryShare = 0;
  double mCanarySlack = 0;
  Duration mRollbackTime{ 0 };
  Duration mGrace{ 0 };
  std::uint32_t mMemory = 0;
  std::uint32_t mDescriptors = 0;
  std::uint32_t mProcessorPower = 1;
  std::string mLoadAdmission;
  std::string mGathering;
  std::string mPartialAnswers;
};

} // namespace verbenachute
