#include "../LibDispatch/FakeCell.h"

#include <doctest/doctest.h>

namespace verbenachute {

// Seeds whose run of TestPoison breaks a bound. Each stands in KNOWN-RED.txt
// until the fault is mended; then it joins the seeds of TestPoison.
TEST_CASE("An innocent query is not refused for long, seed 138")
{
  CellFaults faults;
  faults.mPoison = 0.02;
  faults.mDuplicates = 0.05;
  FakeCell cell(138, faults);
  cell.Run(seconds(120));
  CHECK(cell.LongestBlame() <= seconds(5));
  CHECK(cell.Violations() == "");
}

} // namespace verbenachute
