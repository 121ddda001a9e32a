#pragma once

#include <LibCore/Strong.h>

#include <cstdint>
#include <string>

namespace verbenachute {

/// Name of an entry VM that runs one daemon, unique in the fleet.
using NodeName = Strong<struct NodeNameTag, std::string>;
/// Number assigned at each start of a daemon; a later start has a larger
/// number.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
/// Part of a region that fails as a unit.
using FailureDomain = Strong<struct FailureDomainTag, std::string>;
using Region = Strong<struct RegionTag, std::string>;
/// Identifier of the caller of a request, as the request states it.
using CallerId = Strong<struct CallerIdTag, std::string>;
/// Class of a request; budgets, limits and histograms are kept for each class.
using CallerClass = Strong<struct CallerClassTag, std::string>;
using ServiceName = Strong<struct ServiceNameTag, std::string>;
/// Name of one target, a search server; unique in the fleet.
using TargetName = Strong<struct TargetNameTag, std::string>;
/// Number of a shard within the shard map of one index version.
using ShardId = Strong<struct ShardIdTag, std::uint32_t>;
/// Version of an index; a larger number is newer.
using IndexVersion = Strong<struct IndexVersionTag, std::uint64_t>;
/// Revision of the operators' configuration; a larger number is newer.
using Revision = Strong<struct RevisionTag, std::uint64_t>;
/// Identifier of a request, chosen by its caller and unchanged in its retries.
using RequestId = Strong<struct RequestIdTag, std::string>;
/// Identifier of one execution of a query on one node.
using QueryId = Strong<struct QueryIdTag, std::uint64_t>;
/// Identifier of one attempt at a sub-query; never reused within a process.
using AttemptId = Strong<struct AttemptIdTag, std::uint64_t>;
/// Hash of the content of a request; the same for repeats under other request
/// ids.
using Fingerprint = Strong<struct FingerprintTag, std::uint64_t>;
/// Number of a change to the set of voters; a larger number is newer.
using RosterEpoch = Strong<struct RosterEpochTag, std::uint64_t>;

/// One incarnation of a node. After a restart, the node is a different peer.
struct NodeIdentity
{
  NodeName mName;
  Incarnation mIncarnation;

  friend bool operator==(const NodeIdentity&, const NodeIdentity&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): the rewritten 0 is no pointer.
  friend auto operator<=>(const NodeIdentity&, const NodeIdentity&) = default;
};

/// An IPv4 address and a port; written as "127.0.0.1:7001".
struct SocketAddress
{
  std::string mHost;
  std::uint16_t mPort = 0;

  friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): the rewritten 0 is no pointer.
  friend auto operator<=>(const SocketAddress&, const SocketAddress&) = default;
};

} // namespace verbenachute
