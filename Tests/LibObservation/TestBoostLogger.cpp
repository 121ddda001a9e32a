#include <LibObservation/BoostLogger.h>

#include <doctest/doctest.h>
#include <json/json.h>

#include <limits>
#include <sstream>

namespace verbenachute {

namespace {

class FakeClock final : public Clock
{
public:
  [[nodiscard]] Instant Now() const override { return mNow; }
  [[nodiscard]] UnixMilliseconds WallTime() const override
  {
    return UnixMilliseconds(1700000000123);
  }

  Instant mNow{ seconds(100) };
};

std::vector<Json::Value>
LinesOf(const std::ostringstream& aStream)
{
  std::vector<Json::Value> lines;
  std::istringstream text(aStream.str());
  for (std::string one; std::getline(text, one);) {
    std::istringstream stream(one);
    Json::Value line;
    REQUIRE_NOTHROW(stream >> line);
    lines.push_back(line);
  }
  return lines;
}

} // namespace

TEST_CASE("An event is one line of JSON")
{
  std::ostringstream stream;
  const FakeClock clock;
  BoostLogger logger({ NodeName("node-1") }, clock, stream);
  logger.Log(LogEvent(EventNumber::PeerLost)
               .At(Step::Membership)
               .Peer("node\n\"2\xff")
               .With("age_ms", 5)
               .With("share", 0.5)
               .With("rate", std::numeric_limits<double>::infinity())
               .With("note", "two\nlines"));
  const std::vector<Json::Value> lines = LinesOf(stream);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["time"] == "2023-11-14T22:13:20.123Z");
  CHECK(lines[0]["number"] == 801);
  CHECK(lines[0]["event"] == "peer_lost");
  CHECK(lines[0]["severity"] == "warning");
  CHECK(lines[0]["node"] == "node-1");
  CHECK(lines[0]["step"] == "membership");
  CHECK(lines[0]["fields"]["age_ms"] == 5);
  CHECK(lines[0]["fields"]["share"] == 0.5);
  CHECK(lines[0]["fields"]["rate"].isNull());
  CHECK(lines[0]["fields"]["note"] == "two\nlines");
}

TEST_CASE("Loggers in one process write only to their own streams")
{
  std::ostringstream first;
  std::ostringstream second;
  const FakeClock clock;
  BoostLogger warningsOnly({ NodeName("a"), Severity::Warning }, clock, first);
  BoostLogger other({ NodeName("b") }, clock, second);
  warningsOnly.Log(LogEvent(EventNumber::PeerConnected));
  other.Log(LogEvent(EventNumber::PeerConnected));
  CHECK(first.str().empty());
  CHECK(LinesOf(second).size() == 1);
}

TEST_CASE("Repeated events are written up to the burst limit and then counted")
{
  std::ostringstream stream;
  FakeClock clock;
  BoostLogger logger({ NodeName("node-1") }, clock, stream);
  for (int i = 0; i < 1000; ++i) {
    logger.Log(LogEvent(EventNumber::PeerLost).Peer("node-2"));
  }
  logger.Log(LogEvent(EventNumber::PeerLost).Peer("node-3"));
  CHECK(LinesOf(stream).size() == EventRateLimiter::kBurstPerWindow + 1);
  clock.mNow += EventRateLimiter::kWindow;
  logger.ReportSuppressed();
  const Json::Value last = LinesOf(stream).back();
  CHECK(last["number"] == 103);
  CHECK(last["peer"] == "node-2");
  CHECK(last["fields"]["repeats"] ==
        1000 - static_cast<int>(EventRateLimiter::kBurstPerWindow));
  logger.Log(LogEvent(EventNumber::PeerLost).Peer("node-2"));
  CHECK(LinesOf(stream).back()["number"] == 801);
}

TEST_CASE("Events about an unlimited number of peers are still rate-limited")
{
  EventRateLimiter limiter;
  const Instant now{ seconds(1) };
  std::size_t written = 0;
  for (int i = 0; i < 100000; ++i) {
    written += limiter.Decide(EventNumber::PeerLost, std::to_string(i), now) ==
               EventRateLimiter::Decision::Write;
  }
  CHECK(written <=
        EventRateLimiter::kMaxKeys + EventRateLimiter::kBurstPerWindow);
}

} // namespace verbenachute
