#include <LibSettings/SettingsFile.h>

#include <fstream>
#include <sstream>

namespace verbenachute {

namespace {

constexpr std::string_view kWhiteSpace = " \t\r";

std::string_view
Trimmed(std::string_view aText)
{
  const std::size_t begin = aText.find_first_not_of(kWhiteSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  const std::size_t end = aText.find_last_not_of(kWhiteSpace);
  return aText.substr(begin, end - begin + 1);
}

} // namespace

Result<RawSettings>
ParseSettingsFile(std::string_view aText)
{
  RawSettings settings;
  std::size_t lineNumber = 0;
  std::size_t begin = 0;
  while (begin < aText.size()) {
    const std::size_t end = std::min(aText.find('\n', begin), aText.size());
    const std::string_view line = Trimmed(aText.substr(begin, end - begin));
    begin = end + 1;
    ++lineNumber;
    if (line.empty() || line.front() == '#') {
      continue;
    }
    const std::size_t equals = line.find('=');
    const std::string_view name = Trimmed(line.substr(0, equals));
    if (equals == std::string_view::npos || name.empty()) {
      return Error{ Step::Settings,
                    ErrorCode::InvalidInput,
                    "",
                    "line " + std::to_string(lineNumber) +
                      " of the settings file is not 'name = value'" };
    }
    const std::string_view value = Trimmed(line.substr(equals + 1));
    if (!value.empty()) {
      settings[std::string(name)] = std::string(value);
    }
  }
  return settings;
}

Result<RawSettings>
ReadSettingsFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return Error{ Step::Settings,
                  ErrorCode::Unavailable,
                  aPath,
                  "the settings file can not be read" };
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettingsFile(text.str());
}

} // namespace verbenachute
