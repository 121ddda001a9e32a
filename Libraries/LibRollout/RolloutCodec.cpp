#include <LibRollout/RolloutCodec.h>

#include <LibWire/SingleMessage.h>

namespace verbenachute {

namespace {

// Optional fields are encoded as 0 if empty, otherwise as the value plus one.
void
WriteOptional(FieldWriter* aWriter, std::optional<std::uint64_t> aValue)
{
  aWriter->Number(aValue.has_value() ? *aValue + 1 : 0);
}

std::optional<std::uint64_t>
ReadOptional(FieldReader* aReader)
{
  const std::uint64_t value = aReader->Number<std::uint64_t>();
  return value == 0 ? std::nullopt : std::optional(value - 1);
}

std::size_t
UsedBuckets(const LatencyHistogram& aLatencies)
{
  std::size_t used = 0;
  for (std::size_t i = 0; i < LatencyHistogram::kBuckets; ++i) {
    used += aLatencies.At(i) > 0 ? 1 : 0;
  }
  return used;
}

// One flat array: responses, failures, and the buckets in use with their
// counts.
void
WriteVersion(FieldWriter* aWriter, const VersionCounts& aCounts)
{
  aWriter->Array(2 + 2 * UsedBuckets(aCounts.mLatencies));
  aWriter->Number(aCounts.mResponses);
  aWriter->Number(aCounts.mFailed);
  for (std::size_t i = 0; i < LatencyHistogram::kBuckets; ++i) {
    if (aCounts.mLatencies.At(i) > 0) {
      aWriter->Number(i);
      aWriter->Number(aCounts.mLatencies.At(i));
    }
  }
}

VersionCounts
ReadVersion(FieldReader* aReader)
{
  FieldReader fields = aReader->Array();
  VersionCounts counts;
  counts.mResponses = fields.Number<std::uint64_t>();
  counts.mFailed = fields.Number<std::uint64_t>();
  while (fields.Remaining() > 0) {
    const std::size_t bucket = fields.Number<std::size_t>();
    if (bucket >= LatencyHistogram::kBuckets) {
      throw MalformedField("latency bucket out of range");
    }
    counts.mLatencies.Set(bucket, fields.Number<std::uint64_t>());
  }
  return counts;
}

std::optional<std::uint64_t>
MicrosecondsOf(const std::optional<Duration>& aTime)
{
  return aTime.has_value()
           ? std::optional(static_cast<std::uint64_t>(aTime->count()))
           : std::nullopt;
}

RolloutReport
ReadReport(FieldReader* aReader)
{
  RolloutReport report;
  report.mSender.mName = aReader->Id<NodeName>();
  report.mSender.mIncarnation = aReader->Id<Incarnation>();
  report.mService = aReader->Id<ServiceName>();
  report.mOrder = aReader->Id<StoreRevision>();
  const std::optional<std::uint64_t> elapsed = ReadOptional(aReader);
  if (elapsed.has_value()) {
    report.mElapsed = Duration(static_cast<Duration::rep>(*elapsed));
  }
  report.mPhase = aReader->Enumerator(RolloutPhase::RolledBack);
  report.mIsStopped = aReader->Number<std::uint32_t>() != 0;
  report.mRunningOld = aReader->Number<std::uint64_t>();
  FieldReader shares = aReader->Array();
  while (shares.Remaining() > 0) {
    const std::string route = shares.Text();
    report.mShares[route] = shares.Number<std::uint32_t>();
  }
  report.mCounts.mSent = aReader->Number<std::uint64_t>();
  report.mCounts.mSentNew = aReader->Number<std::uint64_t>();
  while (aReader->Remaining() > 0) {
    const std::string route = aReader->Text();
    for (VersionCounts& counts : report.mCounts.Of(route)) {
      counts = ReadVersion(aReader);
    }
  }
  return report;
}

} // namespace

std::string
EncodeRolloutReport(const RolloutReport& aReport)
{
  return EncodeSingleMessage([&](FieldWriter* aWriter) {
    aWriter->Id(aReport.mSender.mName);
    aWriter->Id(aReport.mSender.mIncarnation);
    aWriter->Id(aReport.mService);
    aWriter->Id(aReport.mOrder);
    WriteOptional(aWriter, MicrosecondsOf(aReport.mElapsed));
    aWriter->Enumerator(aReport.mPhase);
    aWriter->Number(aReport.mIsStopped ? 1U : 0U);
    aWriter->Number(aReport.mRunningOld);
    aWriter->Array(2 * aReport.mShares.size());
    for (const auto& [route, share] : aReport.mShares) {
      aWriter->Text(route);
      aWriter->Number(share);
    }
    aWriter->Number(aReport.mCounts.mSent);
    aWriter->Number(aReport.mCounts.mSentNew);
    for (const auto& [route, versions] : aReport.mCounts.mRoutes) {
      aWriter->Text(route);
      for (const VersionCounts& counts : versions) {
        WriteVersion(aWriter, counts);
      }
    }
  });
}

Result<RolloutReport>
DecodeRolloutReport(std::string_view aBytes)
{
  return DecodeSingleMessage<RolloutReport>(
    aBytes, Step::Membership, ReadReport);
}

} // namespace verbenachute
