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

/// The settings of one daemon, checked.
class Settings
{
public:
  /// Checks every setting; the error names the flag, the value and what is
  /// allowed.
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
  /// Where this node gathers shards for others; nothing if it does not.
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
  /// Peer addresses to try when the platform's list of VMs is not available.
  [[nodiscard]] const std::vector<SocketAddress>& Seeds() const
  {
    return mSeeds;
  }
  /// Failure domains of the deployment, as far as they are known.
  [[nodiscard]] const std::map<FailureDomain, Region>& Domains() const
  {
    return mDomains;
  }
  /// How long callers may keep an address answer.
  [[nodiscard]] Duration AddressValidity() const { return mAddressValidity; }
  /// How long a ticket for non-idempotent requests holds.
  [[nodiscard]] Duration TicketValidity() const { return mTicketValidity; }
  /// Longest time that a graceful shutdown waits for work in hand.
  [[nodiscard]] Duration DrainLimit() const { return mDrainLimit; }
  /// Queries of one node that may run at one time.
  [[nodiscard]] std::uint32_t QueryLimit() const { return mQueryLimit; }
  /// "adaptive", "fixed" or "none".
  [[nodiscard]] const std::string& HedgePolicyName() const
  {
    return mHedgePolicy;
  }
  /// Share of first attempts that hedges and retries may add, in 1/1000.
  [[nodiscard]] std::uint32_t ExtraLoadPerMille() const
  {
    return mExtraLoadPerMille;
  }

  /// "holders" or "direct".
  [[nodiscard]] const std::string& DispatchName() const { return mDispatch; }
  [[nodiscard]] const std::optional<SocketAddress>& ReadyAddress() const
  {
    return mReadyAddress;
  }
  [[nodiscard]] const std::optional<SocketAddress>& DirectoryAddress() const
  {
    return mDirectoryAddress;
  }
  /// Extra attempts for each request for a service, over all nodes.
  [[nodiscard]] double RetryRatio() const { return mRetryRatio; }
  [[nodiscard]] Duration RetryWindow() const { return mRetryWindow; }
  /// Extra attempts in each window beyond the ratio, over all nodes.
  [[nodiscard]] double RetrySlack() const { return mRetrySlack; }
  /// Time from SIGTERM until the process is ended by force.
  [[nodiscard]] Duration Grace() const { return mGrace; }
  /// Processor of this VM in thousandths of a plain core; at least 1.
  [[nodiscard]] std::uint32_t ProcessorPower() const { return mProcessorPower; }
  /// "near" or "direct".
  [[nodiscard]] const std::string& GatheringName() const { return mGathering; }
  /// "at_objective" or "last".
  [[nodiscard]] const std::string& PartialAnswersName() const
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
  Duration mGrace{ 0 };
  std::uint32_t mProcessorPower = 1;
  std::string mGathering;
  std::string mPartialAnswers;
};

} // namespace verbenachute
