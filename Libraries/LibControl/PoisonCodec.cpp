#include <LibControl/PoisonCodec.h>

#include <LibControl/JsonReader.h>
#include <LibCore/SocketAddressText.h>

namespace verbenachute {

namespace {

// A report must not make a fingerprint refused for ever.
constexpr std::uint64_t kLongestMicroseconds = 3'600'000'000;

PoisonReport
ReportOf(const Json::Value& aValue)
{
  PoisonReport report;
  report.mFingerprint = Fingerprint(RequiredNumber(aValue, "fingerprint"));
  report.mEpisode = RequiredNumber(aValue, "episode");
  const std::uint64_t verdict = RequiredNumber(aValue, "verdict");
  const std::uint64_t timeLeft = RequiredNumber(aValue, "time_left_us");
  if (verdict > static_cast<std::uint64_t>(PoisonVerdict::Convicted) ||
      timeLeft > kLongestMicroseconds) {
    throw MalformedControl("a poison report is out of range");
  }
  report.mVerdict = static_cast<PoisonVerdict>(verdict);
  report.mTrier = RequiredIdentity(aValue, "trier");
  report.mTimeLeft = Duration(static_cast<Duration::rep>(timeLeft));
  return report;
}

} // namespace

Json::Value
WritePoisonReport(const PoisonReport& aReport)
{
  Json::Value value;
  value["fingerprint"] = Json::UInt64(aReport.mFingerprint.value());
  value["episode"] = Json::UInt64(aReport.mEpisode);
  value["verdict"] = static_cast<Json::UInt>(aReport.mVerdict);
  value["trier"] = NodeIdentityText(aReport.mTrier);
  value["time_left_us"] = Json::UInt64(aReport.mTimeLeft.count());
  return value;
}

Result<PoisonReport>
ReadPoisonReport(const Json::Value& aValue)
{
  return ReadMessage(aValue, ReportOf);
}

} // namespace verbenachute
