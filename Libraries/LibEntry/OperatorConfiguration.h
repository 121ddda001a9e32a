#pragma once

#include <LibConfiguration/ConfigurationWriter.h>

#include <map>
#include <memory>
#include <string>

namespace verbenachute {

/// Follows the operators' configuration in a mirror of the store: labels,
/// selectors, policy and proposals. A revision comes into force only when all
/// its parts are there, and is never replaced by a smaller one.
class OperatorConfiguration
{
public:
  /// Keys of the store with their values.
  using Keys = std::map<std::string, std::string>;

  enum class Outcome
  {
    Unchanged,
    /// A larger revision has come into force.
    InForce,
  };

  /// Puts the revision that the head key names into force if it is larger than
  /// the current one and all its parts are there. Fails if the head or a part
  /// can not be read; the current revision then stays in force.
  [[nodiscard]] Result<Outcome> Update(const Keys& aKeys);

  /// Null until a first revision has come into force.
  [[nodiscard]] const std::shared_ptr<const Configuration>& InForce() const
  {
    return mBase.mConfiguration;
  }
  [[nodiscard]] Revision RevisionInForce() const;
  /// Largest revision that a head has named; it may not be in force yet.
  [[nodiscard]] Revision Known() const { return mLargestKnown; }
  /// The state from which a writer makes the next revision.
  [[nodiscard]] const WriterBase& Base() const { return mBase; }

private:
  WriterBase mBase;
  Revision mLargestKnown;
};

} // namespace verbenachute
