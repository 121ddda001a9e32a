#pragma once

#include <LibConfiguration/Bootstrap.h>
#include <LibConfiguration/ConfigurationEditor.h>

#include <variant>

namespace verbenachute {

/// What a writer is to write.
using WriteTask = std::variant<ChangeRequest, Bootstrap>;

/// What the task makes of a configuration, null if the store has none. The
/// outcome has the given configuration itself if the task was done before.
[[nodiscard]] Result<ChangeOutcome>
ApplyTask(const WriteTask& aTask,
          const std::shared_ptr<const Configuration>& aBase);

} // namespace verbenachute
