#include <LibObservation/EventCatalogue.h>
#include <LibObservation/MetricsRegistry.h>

#include <absl/strings/str_split.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace verbenachute {

namespace {

// The lines of a page that begin with the given text.
std::vector<std::string>
RowsOfPage(const std::string& aPage, std::string_view aStart)
{
  std::ifstream page(std::string(DOCS_FOLDER) + "/" + aPage);
  REQUIRE(page.is_open());
  std::vector<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with(aStart)) {
      rows.push_back(line);
    }
  }
  return rows;
}

std::vector<std::string>
MetricRows()
{
  std::vector<std::string> rows;
  const MetricsRegistry registry;
  for (const std::string& line :
       std::vector<std::string>(absl::StrSplit(registry.Exposition(), '\n'))) {
    if (!line.starts_with("# HELP ")) {
      continue;
    }
    const std::vector<std::string> parts =
      absl::StrSplit(line.substr(7), absl::MaxSplits(' ', 1));
    rows.push_back("| " + parts[0] + " | " + parts[1] + " |");
  }
  return rows;
}

} // namespace

TEST_CASE("docs/EVENTS.md lists every event")
{
  std::vector<std::string> rows;
  for (const EventDescription& event : EventCatalogue()) {
    std::ostringstream row;
    row << "| " << static_cast<int>(event.mNumber) << " | " << event.mName
        << " | " << SeverityName(event.mSeverity) << " | " << event.mDescription
        << " |";
    rows.push_back(row.str());
  }
  std::vector<std::string> page = RowsOfPage("EVENTS.md", "| ");
  // The header of the table and its separator come before the rows.
  REQUIRE(page.size() > 2);
  page.erase(page.begin(), page.begin() + 2);
  CHECK(page == rows);
}

TEST_CASE("Events have unique ascending numbers and are found by number")
{
  CHECK(std::ranges::adjacent_find(EventCatalogue(),
                                   std::ranges::greater_equal{},
                                   &EventDescription::mNumber) ==
        EventCatalogue().end());
  for (const EventDescription& event : EventCatalogue()) {
    CHECK(&DescriptionOf(event.mNumber) == &event);
  }
  CHECK(SeverityNamed("warning") == Severity::Warning);
  CHECK_FALSE(SeverityNamed("loud").has_value());
}

TEST_CASE("docs/METRICS.md lists every metric")
{
  std::vector<std::string> page = RowsOfPage("METRICS.md", "| verbenachute_");
  std::vector<std::string> rows = MetricRows();
  std::ranges::sort(page);
  std::ranges::sort(rows);
  CHECK(page == rows);
}

} // namespace verbenachute
