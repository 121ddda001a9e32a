#pragma once

#include <LibConfiguration/Change.h>
#include <LibConfiguration/Configuration.h>

#include <memory>
#include <vector>

namespace verbenachute {

/// What a change makes of a configuration.
struct ChangeOutcome
{
  /// The next revision, or the one given if the operation was applied before.
  std::shared_ptr<const Configuration> mConfiguration;
  /// Revision that the operation made, now or when it was first applied.
  Revision mRevision;
  std::vector<Difference> mDifferences;
};

/// Applies changes to a configuration. It never alters the one given: the
/// outcome is the next revision or an error, and an error means that nothing
/// has changed.
class ConfigurationEditor
{
public:
  /// Operations that are remembered for repeats, and shown as history.
  static constexpr std::size_t kHistoryEntries = 2'048;
  /// Proposals that may wait at one time.
  static constexpr std::size_t kPendingProposals = 256;

  /// Errors: InvalidInput for what can't be, NotFound for a name that is not
  /// registered, Forbidden for an edit that needs approval or an approval of
  /// one's own proposal, Conflict for a proposal that no longer applies, an
  /// operation id that was used for another change, or the loss of the last
  /// admissible target without the override.
  [[nodiscard]] static Result<ChangeOutcome> Apply(
    const std::shared_ptr<const Configuration>& aConfiguration,
    const ChangeRequest& aRequest);

  /// The entry of an operation that was applied before, or null.
  [[nodiscard]] static const HistoryEntry* FindOperation(
    const ConfigurationContent& aContent,
    const OperationId& aOperation);
};

} // namespace verbenachute
