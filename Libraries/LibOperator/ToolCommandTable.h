#pragma once

#include <LibOperator/ToolCommand.h>

#include <span>
#include <utility>

namespace verbenachute {

/// All commands, in the order of the help.
[[nodiscard]] std::span<const ToolCommand>
ToolCommandTable();

/// The command that the words begin with, and the words after its name. An
/// unknown command or a wrong number of words is InvalidInput.
[[nodiscard]] Result<std::pair<const ToolCommand*, ToolInput>>
FindCommand(const ToolInput& aInput);

/// The help: commands, flags and exit status.
[[nodiscard]] std::string
ToolUsage();

} // namespace verbenachute
