#pragma once

#include <LibConfiguration/ConfigurationContent.h>
#include <LibConfiguration/Edit.h>

namespace verbenachute {

/// Makes one edit in a content, without regard to who may make it. On an
/// error (InvalidInput, NotFound or Conflict) the content is as it was.
[[nodiscard]] Result<Success>
ApplyEdit(const Edit& aEdit, ConfigurationContent* aContent);

} // namespace verbenachute
