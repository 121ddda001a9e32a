#pragma once

#include <LibConfiguration/Change.h>
#include <LibConfiguration/Configuration.h>

#include <memory>
#include <vector>

namespace verbenachute {

/// Result of a change.
struct ChangeOutcome
{
  /// The next revision, or the one given if the operation was applied before.
  std::shared_ptr<const Configuration> mConfiguration;
  /// Revision that the operation made, now or when it was first applied.
  Revision mRevision;
  std::vector<Difference> mDifferences;
};

/// Applies changes to a configuration. The given configuration is not modified:
/// the result is the next revision, or an error if nothing has changed.
class ConfigurationEditor
{
public:
  /// Maximum number of operations that the history keeps, which also serves to
  /// recognize repeated ones.
  static constexpr std::size_t kHistoryEntries = 2'048;
  /// Maximum number of pending proposals.
  static constexpr std::size_t kPendingProposals = 256;

  /// Errors: InvalidInput for an invalid change, NotFound for a name that is
  /// not registered, Forbidden for an edit that needs approval or an approval
  /// of one's own proposal, Conflict for a proposal that no longer applies, an
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
