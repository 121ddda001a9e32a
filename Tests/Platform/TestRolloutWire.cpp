#include <platform/RolloutWire.h>
#include <platform/StoreWire.h>

#include <doctest/doctest.h>

namespace verbenachute::platform {

TEST_CASE("Orders are decoded, and invalid ones are refused")
{
  const ServiceName service("s");
  CHECK(RolloutOrderService("op/rollout/s") == service);
  CHECK(!RolloutOrderService("op/rollout/").has_value());
  const Result<RolloutOrder> order = DecodeRolloutOrder(
    service,
    R"({"Backend":"s","TargetVersion":"2.1","DurationS":12.5})",
    StoreRevision(9));
  REQUIRE(!IsError(order));
  CHECK(ValueOf(order) ==
        RolloutOrder{ service, "2.1", milliseconds(12'500), StoreRevision(9) });
  for (const char* invalid :
       { "x",
         R"({"Backend":"t","TargetVersion":"2.1","DurationS":12})",
         R"({"Backend":"s","DurationS":12})",
         R"({"Backend":"s","TargetVersion":"2","DurationS":1e9})" }) {
    CHECK(IsError(DecodeRolloutOrder(service, invalid, StoreRevision(9))));
  }
}

// Guards against a successor that reads another state than was written.
TEST_CASE("Records and the status are written and read")
{
  const RolloutRecord record{ RolloutPhase::Switching,
                              StoreRevision(9),
                              { "1", "2" },
                              UnixMilliseconds(1234) };
  const Result<RolloutRecord> decoded =
    DecodeRolloutRecord(ServiceName("s"), RolloutRecordText(record));
  REQUIRE(!IsError(decoded));
  CHECK(ValueOf(decoded) == record);
  CHECK(IsError(DecodeRolloutRecord(ServiceName("s"), R"({"phase":9})")));
  CHECK(RolloutRecordService(RolloutRecordKey(ServiceName("s"))) ==
        ServiceName("s"));
  CHECK(RolloutStatusKey(ServiceName("s")) == "status/rollout/s");
  CHECK(RolloutStatusText(record, "3") ==
        R"({"State":"running","TargetVersion":"3"})");
}

TEST_CASE("Several keys are written under the condition of the first")
{
  const std::string call =
    WriteKeysCall("h", { { "a", "1" }, { "b", "2" } }, StoreRevision(5));
  CHECK(call.find(R"("Precondition":[{"Key":"a","Revision":5}])") !=
        std::string::npos);
  CHECK(call.find(R"({"Key":"b","Value":"Mg=="})") != std::string::npos);
}

} // namespace verbenachute::platform
