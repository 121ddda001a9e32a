#pragma once

#include <LibConfiguration/ConfigurationWriter.h>

#include <map>
#include <memory>
#include <string>

namespace verbenachute {

/// Follows the operators' configuration in a mirror of the store: labels,
/// selectors, policy and proposals. A revision comes into force only whole and
/// is never followed by a smaller one.
class OperatorIntent
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

  /// Puts the revision in force that the keys name, if it is larger and all
  /// its parts are there. A head or part that can not be read is an error;
  /// what was in force stays.
  [[nodiscard]] Result<Outcome> Take(const Keys& aKeys);

  /// Null before the operators have said anything.
  [[nodiscard]] const std::shared_ptr<const Configuration>& InForce() const
  {
    return mBase.mConfiguration;
  }
  [[nodiscard]] Revision RevisionInForce() const;
  /// Largest revision that a head has named.
  [[nodiscard]] Revision Known() const { return mKnown; }
  /// What a writer of the next revision starts from.
  [[nodiscard]] const WriterBase& Base() const { return mBase; }

private:
  WriterBase mBase;
  Revision mKnown;
};

} // namespace verbenachute
