#include <LibTarget/TargetCodec.h>

#include <doctest/doctest.h>
#include <pcg_random.hpp>

namespace verbenachute {

namespace {

const std::string kAnswer = R"({"attempt":"n@1/9","version":7,"shard":3,)"
                            R"("hits":[{"id":"d-1","score":0.5,"text":"x"}]})";

TargetReply
Parsed(int aStatus, const std::string& aBody)
{
  return ParseTargetReply(HttpReply{ aStatus, "application/json", aBody },
                          "n@1/9");
}

} // namespace

TEST_CASE("Each status of a target has its verdict")
{
  const TargetReply answer = Parsed(200, kAnswer);
  CHECK(answer.mVerdict == TargetVerdict::Answered);
  CHECK(answer.mVersion == IndexVersion(7));
  CHECK(answer.mHits.size() == 1);
  CHECK(Parsed(400, "").mVerdict == TargetVerdict::Malformed);
  CHECK(Parsed(408, R"({"ran":false})").mVerdict ==
        TargetVerdict::EndedBeforeRun);
  CHECK(Parsed(408, R"({"ran":true})").mVerdict ==
        TargetVerdict::EndedWhileRunning);
  CHECK(Parsed(409, R"({"versions":[]})").mVerdict ==
        TargetVerdict::VersionNotHeld);
  CHECK(Parsed(410, "").mVerdict == TargetVerdict::Draining);
  CHECK(Parsed(429, "").mVerdict == TargetVerdict::Shed);
  CHECK(Parsed(500, "").mVerdict == TargetVerdict::Failed);
}

TEST_CASE("A reply that is not as described is unreadable")
{
  CHECK(Parsed(302, kAnswer).mVerdict == TargetVerdict::Unreadable);
  CHECK(Parsed(408, "{}").mVerdict == TargetVerdict::Unreadable);
  CHECK(Parsed(409, "{}").mVerdict == TargetVerdict::Unreadable);
  for (std::size_t length = 0; length < kAnswer.size(); ++length) {
    CHECK(Parsed(200, kAnswer.substr(0, length)).mVerdict ==
          TargetVerdict::Unreadable);
  }
  const TargetReply crossed =
    ParseTargetReply(HttpReply{ 200, "application/json", kAnswer }, "n@1/10");
  CHECK(crossed.mVerdict == TargetVerdict::Unreadable);
}

TEST_CASE("Damaged replies end in a verdict")
{
  pcg32 random(3);
  int unreadable = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string damaged = kAnswer;
    damaged[random(static_cast<std::uint32_t>(damaged.size()))] =
      static_cast<char>(random());
    unreadable +=
      Parsed(200, damaged).mVerdict == TargetVerdict::Unreadable ? 1 : 0;
  }
  CHECK(unreadable > 0);
}

} // namespace verbenachute
