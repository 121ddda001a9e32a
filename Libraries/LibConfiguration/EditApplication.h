#pragma once

#include <LibConfiguration/ConfigurationContent.h>
#include <LibConfiguration/Edit.h>

namespace verbenachute {

/// Applies one edit to a content, without checking permissions. On an error
/// (InvalidInput, NotFound or Conflict) the content is unchanged.
[[nodiscard]] Result<Success>
ApplyEdit(const Edit& aEdit, ConfigurationContent* aContent);

} // namespace verbenachute
