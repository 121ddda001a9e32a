#pragma once

#include <LibConfiguration/EncodedConfiguration.h>
#include <LibConfiguration/FollowerAction.h>

#include <optional>
#include <set>

namespace verbenachute {

/// A revision whose parts a node is collecting.
struct PartFetch
{
  ConfigurationHead mHead;
  /// Where the head came from, asked first for the parts.
  ConfigurationSource mSource;
  /// An Instant at which the head was the latest, if that is known.
  std::optional<Instant> mConfirmed;
  ConfigurationParts mParts;
  /// Parts that have been asked for and not been answered.
  std::set<PartName> mAsked;
  /// Failed asks, by which the next source is chosen.
  std::uint64_t mFailures = 0;
  /// When to ask on after failures.
  Instant mDue;
};

} // namespace verbenachute
