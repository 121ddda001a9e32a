#include <LibSettings/SettingTable.h>

#include <doctest/doctest.h>

#include <fstream>
#include <string>
#include <vector>

namespace verbenachute {

TEST_CASE("docs/SETTINGS.md lists every setting")
{
  std::ifstream page(std::string(DOCS_FOLDER) + "/SETTINGS.md");
  REQUIRE(page.is_open());
  std::vector<std::string> listed;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| `--")) {
      listed.push_back(line);
    }
  }
  std::vector<std::string> expected;
  for (const SettingDescription& setting : SettingTable()) {
    const std::string defaultText =
      setting.mDefault[0] == '\0' ? "must be given" : setting.mDefault;
    expected.push_back(std::string("| `--") + setting.mName + "` | " +
                       defaultText + " | " + setting.mAllowed + " | " +
                       setting.mMeaning + " |");
  }
  CHECK(listed == expected);
}

} // namespace verbenachute
