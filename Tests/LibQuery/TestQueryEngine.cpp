#include "QueryRig.h"

namespace verbenachute {

TEST_CASE("A query whose shards all answer is whole")
{
  QueryRig rig;
  rig.ReportShards(3, 2);
  rig.Submit(rig.Request());
  REQUIRE(rig.mSent.size() == 3);
  for (const SubQuery& query : std::vector<SubQuery>(rig.mSent)) {
    CHECK(query.mVersion == IndexVersion(QueryRig::kVersion));
    CHECK(query.mTimeLeft < milliseconds(500));
    rig.Deliver(QueryRig::Answer(query));
  }
  const QueryAnswer& answer = rig.OnlyAnswer();
  CHECK(answer.mSnapshot == IndexVersion(QueryRig::kVersion));
  CHECK(answer.mCoverage == Coverage{ 3, 3, {} });
  CHECK(answer.mHits.size() == 3);
  CHECK(answer.mExtraAttempts == 0);
  CHECK(rig.mEngine.QueryCount() == 0);
}

} // namespace verbenachute
