#include <LibConfiguration/PartName.h>

#include <LibConfiguration/ContentDigest.h>

namespace verbenachute {

namespace {

constexpr std::size_t kDigestCharacters = 32;
constexpr std::size_t kTagCharacters = 16;

bool
IsHexadecimal(std::string_view aText, std::size_t aSize)
{
  return aText.size() == aSize &&
         aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

std::string
PartName::Text() const
{
  return mDigest + "." + mTag;
}

std::string
PartName::Key() const
{
  return std::string(kPartKeyPrefix) + Text();
}

Result<PartName>
PartName::Create(std::string_view aText)
{
  const std::size_t dot = aText.find('.');
  const std::string_view digest = aText.substr(0, dot);
  const std::string_view tag =
    dot == std::string_view::npos ? "" : aText.substr(dot + 1);
  if (!IsHexadecimal(digest, kDigestCharacters) ||
      !IsHexadecimal(tag, kTagCharacters)) {
    return Error{ Step::Configuration,
                  ErrorCode::InvalidInput,
                  "",
                  "'" + std::string(aText.substr(0, 64)) +
                    "' is no name of a configuration part" };
  }
  return PartName{ std::string(digest), std::string(tag) };
}

std::string
PartTag(std::string_view aWriterAndAttempt)
{
  return ContentDigest(aWriterAndAttempt).substr(0, kTagCharacters);
}

} // namespace verbenachute
