#pragma once

#include <LibCore/Error.h>

#include <string_view>

namespace verbenachute {

/// Maximum length of the name of a target, operator, selector or label, in
/// bytes.
inline constexpr std::size_t kNameBytes = 128;

/// Whether a character is allowed in a name: letters, digits and "._-/:@".
[[nodiscard]] bool
IsNameCharacter(char aCharacter);

/// Fails with InvalidInput unless the text consists of 1 to kNameBytes allowed
/// characters. The message names aWhat.
[[nodiscard]] Result<Success>
CheckName(std::string_view aWhat, std::string_view aText);

} // namespace verbenachute
