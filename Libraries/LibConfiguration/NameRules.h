#pragma once

#include <LibCore/Error.h>

#include <string_view>

namespace verbenachute {

/// Longest name of a target, operator, selector or label, in bytes.
inline constexpr std::size_t kNameBytes = 128;

/// Whether a character may stand in a name: letters, digits and "._-/:@".
[[nodiscard]] bool
IsNameCharacter(char aCharacter);

/// InvalidInput, naming aWhat, unless the text is 1 to kNameBytes characters
/// that may stand in a name.
[[nodiscard]] Result<Success>
CheckName(std::string_view aWhat, std::string_view aText);

} // namespace verbenachute
