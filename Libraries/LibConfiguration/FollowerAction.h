#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/PartName.h>
#include <LibCore/Time.h>

#include <memory>
#include <string>
#include <variant>

namespace verbenachute {

/// The platform's store as a source of configuration.
struct StoreSource
{
  friend bool operator==(const StoreSource&, const StoreSource&) = default;
};

/// Where a head or part can be read: the store, or a peer that serves the
/// revision in force on it.
using ConfigurationSource = std::variant<StoreSource, NodeName>;

/// Names one request of a follower; its reply carries the same number.
using CallId = Strong<struct CallIdTag, std::uint64_t>;

/// Read kHeadKey; answer with OnHead, OnNoHead or OnFailure.
struct ReadHead
{
  CallId mCall;
  ConfigurationSource mSource;
};

/// Watch kHeadKey in the store; answer with OnHead, OnUnchanged after mWait
/// without a change, or OnFailure.
struct WatchHead
{
  CallId mCall;
  /// Revision of the key in the store beyond which a change counts.
  std::uint64_t mAfter = 0;
  Duration mWait{ 0 };
};

/// Read the part under mPart.Key(); answer with OnPart or OnFailure.
struct ReadPart
{
  CallId mCall;
  ConfigurationSource mSource;
  PartName mPart;
};

/// Use this configuration from now on, and report its revision to peers.
struct PutInForce
{
  std::shared_ptr<const Configuration> mConfiguration;
};

/// Log that a source offered a revision that can not be used.
struct ReportRefused
{
  ConfigurationSource mSource;
  Revision mOffered;
  Error mError;
};

using FollowerAction =
  std::variant<ReadHead, WatchHead, ReadPart, PutInForce, ReportRefused>;

} // namespace verbenachute
