#pragma once

#include <LibConfiguration/Edit.h>
#include <LibOperator/ToolInput.h>
#include <LibTransport/HttpMessage.h>

namespace verbenachute {

/// Builds requests that change the configuration. Faults go to the input.
using EditBuilder = Edit (*)(ToolInput* aInput);

/// The edit of a command such as "label set", or null if it makes none.
[[nodiscard]] EditBuilder
FindEditBuilder(std::string_view aCommand);

/// The edit made at once. aCommand must have an edit builder.
[[nodiscard]] HttpRequest
EditRequest(std::string_view aCommand, ToolInput* aInput);
/// A proposal of the edit that the words name.
[[nodiscard]] HttpRequest
ProposeRequest(ToolInput* aInput);
/// Approval or rejection of the proposal that the first word names.
[[nodiscard]] HttpRequest
ApproveRequest(ToolInput* aInput);
[[nodiscard]] HttpRequest
RejectRequest(ToolInput* aInput);

} // namespace verbenachute
