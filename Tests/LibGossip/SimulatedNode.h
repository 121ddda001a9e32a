#pragma once

#include <LibGossip/NodeStatus.h>

#include <string>

namespace verbenachute {

/// Status of a serving node of a simulated fleet whose nodes take turns in the
/// failure domains. Name and addresses follow from its number.
inline NodeStatus
SimulatedNodeStatus(std::size_t aNode,
                    std::uint64_t aIncarnation,
                    std::size_t aDomains)
{
  NodeStatus status;
  status.mIdentity = { NodeName("n" + std::to_string(aNode)),
                       Incarnation(aIncarnation) };
  const std::uint16_t port = static_cast<std::uint16_t>(7000 + aNode);
  status.mCallerAddress = { "10.0.0.1", port };
  status.mPeerAddress = { "10.0.0.1", static_cast<std::uint16_t>(port + 1000) };
  status.mServingState = ServingState::Serving;
  status.mDomain = FailureDomain("d" + std::to_string(aNode % aDomains));
  return status;
}

} // namespace verbenachute
