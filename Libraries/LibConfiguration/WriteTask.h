#pragma once

#include <LibConfiguration/Bootstrap.h>
#include <LibConfiguration/ConfigurationEditor.h>
#include <LibConfiguration/TargetListing.h>

#include <memory>
#include <variant>

namespace verbenachute {

/// A change where targets and failure domains tell of themselves. The store
/// keeps only what operators have said.
struct ListedChange
{
  ChangeRequest mRequest;
  /// The listing when the change arrived; not null.
  std::shared_ptr<const TargetListing> mListing;
};

/// The task of a writer.
using WriteTask = std::variant<ChangeRequest, Bootstrap, ListedChange>;

/// What the task makes of a configuration, null if the store has none. The
/// outcome has the given configuration itself if the task was done before.
[[nodiscard]] Result<ChangeOutcome>
ApplyTask(const WriteTask& aTask,
          const std::shared_ptr<const Configuration>& aBase);

} // namespace verbenachute
