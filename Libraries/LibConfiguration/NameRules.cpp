#include <LibConfiguration/NameRules.h>

#include <algorithm>

namespace verbenachute {

bool
IsNameCharacter(char aCharacter)
{
  constexpr std::string_view kPunctuation = "._-/:@";
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') ||
         kPunctuation.find(aCharacter) != std::string_view::npos;
}

Result<Success>
CheckName(std::string_view aWhat, std::string_view aText)
{
  if (!aText.empty() && aText.size() <= kNameBytes &&
      std::all_of(aText.begin(), aText.end(), IsNameCharacter)) {
    return Success{};
  }
  return Error{ Step::Parse,
                ErrorCode::InvalidInput,
                "",
                std::string(aWhat) + " '" +
                  std::string(aText.substr(0, kNameBytes)) + "' must be 1 to " +
                  std::to_string(kNameBytes) +
                  " letters, digits or characters of ._-/:@" };
}

} // namespace verbenachute
