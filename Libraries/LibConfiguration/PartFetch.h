#pragma once

#include <LibConfiguration/EncodedConfiguration.h>
#include <LibConfiguration/FollowerAction.h>

#include <map>
#include <optional>
#include <set>

namespace verbenachute {

/// Fetches the parts of one revision.
class PartFetch
{
public:
  /// The parts are first requested from aSource, which returned the head.
  /// aConfirmed is a time at which the head was the latest, if known.
  PartFetch(ConfigurationHead aHead,
            ConfigurationSource aSource,
            std::optional<Instant> aConfirmed,
            Instant aNow);

  [[nodiscard]] const ConfigurationHead& Head() const { return mHead; }
  [[nodiscard]] const ConfigurationSource& Source() const { return mSource; }
  [[nodiscard]] std::optional<Instant> Confirmed() const { return mConfirmed; }
  [[nodiscard]] const ConfigurationParts& Parts() const { return mParts; }
  [[nodiscard]] bool IsComplete() const;

  /// Adds the parts of this revision that are already known.
  void AddKnownParts(const ConfigurationParts& aKnown);
  void Take(const PartName& aPart, std::shared_ptr<const std::string> aText);
  /// Returns the parts to request now and marks them as requested.
  [[nodiscard]] std::vector<PartName> TakeNextParts(Instant aNow);
  /// Returns whether the part was still needed. The next ones are requested
  /// from the next source, not before aDue.
  [[nodiscard]] bool OnFailure(const PartName& aPart, Instant aDue);
  /// The source for the next parts, of the store and the peers that have the
  /// revision or a larger one.
  [[nodiscard]] ConfigurationSource NextSource(
    const std::map<NodeName, Revision>& aPeers) const;
  /// When to request parts; empty while replies are pending.
  [[nodiscard]] std::optional<Instant> Due() const;

private:
  ConfigurationHead mHead;
  ConfigurationSource mSource;
  std::optional<Instant> mConfirmed;
  /// The parts that the head names and that are there.
  ConfigurationParts mParts;
  /// The parts that the head names and that are not.
  std::set<PartName> mMissing;
  /// Those that have been requested without a reply so far.
  std::set<PartName> mAsked;
  /// Number of failed requests, by which the next source is chosen.
  std::uint64_t mFailures = 0;
  Instant mDue;
};

} // namespace verbenachute
