#pragma once

#include <LibConfiguration/EncodedConfiguration.h>
#include <LibConfiguration/FollowerAction.h>

#include <map>
#include <optional>
#include <set>

namespace verbenachute {

/// Collects the parts of one revision.
class PartFetch
{
public:
  /// aSource gave the head and is asked first for the parts. aConfirmed is an
  /// Instant at which the head was the latest, if that is known.
  PartFetch(ConfigurationHead aHead,
            ConfigurationSource aSource,
            std::optional<Instant> aConfirmed,
            Instant aNow);

  [[nodiscard]] const ConfigurationHead& Head() const { return mHead; }
  [[nodiscard]] const ConfigurationSource& Source() const { return mSource; }
  [[nodiscard]] std::optional<Instant> Confirmed() const { return mConfirmed; }
  [[nodiscard]] const ConfigurationParts& Parts() const { return mParts; }
  [[nodiscard]] bool IsWhole() const;

  /// Takes the parts of this revision from those that are known already.
  void TakeKnown(const ConfigurationParts& aKnown);
  void Take(const PartName& aPart, std::shared_ptr<const std::string> aText);
  /// Parts to be asked for now; they count as asked from here on.
  [[nodiscard]] std::vector<PartName> NextToAsk(Instant aNow);
  /// Whether the part was still wanted. The next ones wait until aDue and are
  /// asked for at the next source.
  [[nodiscard]] bool OnFailure(const PartName& aPart, Instant aDue);
  /// The source for the next parts, of the store and the peers that have the
  /// revision or a larger one.
  [[nodiscard]] ConfigurationSource NextSource(
    const std::map<NodeName, Revision>& aPeers) const;
  /// When parts are to be asked for; none while answers are waited for.
  [[nodiscard]] std::optional<Instant> Due() const;

private:
  ConfigurationHead mHead;
  ConfigurationSource mSource;
  std::optional<Instant> mConfirmed;
  /// The parts that the head names and that are there.
  ConfigurationParts mParts;
  /// The parts that the head names and that are not.
  std::set<PartName> mMissing;
  /// Those of them that have been asked for and not been answered.
  std::set<PartName> mAsked;
  /// Failed asks, by which the next source is chosen.
  std::uint64_t mFailures = 0;
  Instant mDue;
};

} // namespace verbenachute
