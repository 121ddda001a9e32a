#pragma once

#include <LibConfiguration/ConfigurationContent.h>
#include <LibConfiguration/Edit.h>

namespace verbenachute {

/// Whether the policy of the content lets the operator make the edit without
/// approval: with an empty policy always, otherwise if one rule grants it.
[[nodiscard]] bool
MaySteer(const ConfigurationContent& aContent,
         const OperatorName& aOperator,
         const Edit& aEdit);

} // namespace verbenachute
