#pragma once

#include <LibConfiguration/Change.h>

#include <json/value.h>

namespace verbenachute {

/// An edit as a JSON object with the field "kind" and the fields of the kind,
/// such as {"kind":"set_label","target":"t-1","key":"tier","value":"gold"}.
[[nodiscard]] Json::Value
EditJson(const Edit& aEdit);

/// Reads what EditJson writes, strictly; InvalidInput at the step Parse.
[[nodiscard]] Result<Edit>
ReadEdit(const Json::Value& aValue);

/// A change as JSON, in the shape of the operators' requests.
[[nodiscard]] Json::Value
ChangeJson(const Change& aChange);

/// One line for operators, such as "set label tier=gold on target t-1".
[[nodiscard]] std::string
EditSummary(const Edit& aEdit);
[[nodiscard]] std::string
ChangeSummary(const Change& aChange);

} // namespace verbenachute
