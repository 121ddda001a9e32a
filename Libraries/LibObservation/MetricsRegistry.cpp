#include <LibObservation/MetricsRegistry.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

namespace verbenachute {

namespace {

Histogram&
HistogramFor(std::map<std::string, Histogram>& aHistograms,
             const std::string& aLabel,
             std::size_t aLimit)
{
  const bool known = aHistograms.contains(aLabel);
  if (known || aHistograms.size() < aLimit) {
    return aHistograms[aLabel];
  }
  return aHistograms[MetricsRegistry::kOverflowLabel];
}

std::string
Escaped(const std::string& aLabel)
{
  return absl::StrReplaceAll(
    aLabel, { { "\\", "\\\\" }, { "\"", "\\\"" }, { "\n", "\\n" } });
}

void
AppendHeader(std::string* aText,
             const MetricDescription& aMetric,
             const char* aType)
{
  absl::StrAppend(aText, "# HELP ", aMetric.mName, " ", aMetric.mHelp, "\n");
  absl::StrAppend(aText, "# TYPE ", aMetric.mName, " ", aType, "\n");
}

void
AppendValue(std::string* aText,
            const MetricDescription& aMetric,
            const char* aType,
            std::uint64_t aValue)
{
  AppendHeader(aText, aMetric, aType);
  absl::StrAppend(aText, aMetric.mName, " ", aValue, "\n");
}

std::string
BoundText(std::size_t aBucket)
{
  if (aBucket == Histogram::kBounds.size()) {
    return "+Inf";
  }
  return absl::StrFormat(
    "%g", std::chrono::duration<double>(Histogram::kBounds[aBucket]).count());
}

void
AppendHistogram(std::string* aText,
                const char* aName,
                const std::string& aLabel,
                const Histogram& aHistogram)
{
  std::uint64_t cumulativeCount = 0;
  for (std::size_t bucket = 0; bucket <= Histogram::kBounds.size(); ++bucket) {
    cumulativeCount += aHistogram.BucketCount(bucket);
    absl::StrAppend(aText, aName, "_bucket{", aLabel, ",le=\"");
    absl::StrAppend(aText, BoundText(bucket), "\"} ", cumulativeCount, "\n");
  }
  absl::StrAppend(aText, aName, "_sum{", aLabel, "} ");
  absl::StrAppend(aText, aHistogram.SumSeconds(), "\n");
  absl::StrAppend(aText, aName, "_count{", aLabel, "} ");
  absl::StrAppend(aText, aHistogram.Count(), "\n");
}

void
AppendHistograms(std::string* aText,
                 const MetricDescription& aMetric,
                 const char* aLabelName,
                 const std::map<std::string, Histogram>& aHistograms)
{
  AppendHeader(aText, aMetric, "histogram");
  for (const auto& [label, histogram] : aHistograms) {
    AppendHistogram(aText,
                    aMetric.mName,
                    absl::StrCat(aLabelName, "=\"", Escaped(label), "\""),
                    histogram);
  }
}

} // namespace

void
MetricsRegistry::Add(Counter aCounter, std::uint64_t aAmount)
{
  mCounters[static_cast<std::size_t>(aCounter)] += aAmount;
}

void
MetricsRegistry::Set(Gauge aGauge, std::uint64_t aValue)
{
  mGauges[static_cast<std::size_t>(aGauge)] = aValue;
}

void
MetricsRegistry::CountStep(Step aStep)
{
  ++mSteps[aStep];
}

void
MetricsRegistry::AddTraffic(TrafficCause aCause, std::size_t aBytes)
{
  mTraffic[static_cast<std::size_t>(aCause)] += aBytes;
}

void
MetricsRegistry::CountRefusal(const Error& aError, Execution aExecution)
{
  ++mRefusals[RefusalKey(aError.mStep, aError.mCode, aExecution)];
}

void
MetricsRegistry::ObserveLatency(const CallerClass& aClass,
                                const CallerId& aCaller,
                                Duration aLatency)
{
  HistogramFor(mClasses, aClass.value(), kMaxClasses).Observe(aLatency);
  HistogramFor(mCallers, aCaller.value(), kMaxCallers).Observe(aLatency);
}

std::uint64_t
MetricsRegistry::Value(Counter aCounter) const
{
  return mCounters[static_cast<std::size_t>(aCounter)];
}

std::string
MetricsRegistry::Exposition() const
{
  std::string text;
  for (std::size_t i = 0; i < mCounters.size(); ++i) {
    AppendValue(
      &text, DescriptionOf(static_cast<Counter>(i)), "counter", mCounters[i]);
  }
  for (std::size_t i = 0; i < mGauges.size(); ++i) {
    AppendValue(
      &text, DescriptionOf(static_cast<Gauge>(i)), "gauge", mGauges[i]);
  }
  AppendHeader(&text, kTrafficMetric, "counter");
  for (std::size_t i = 0; i < mTraffic.size(); ++i) {
    const char* cause = TrafficCauseName(static_cast<TrafficCause>(i));
    absl::StrAppend(&text, kTrafficMetric.mName, "{cause=\"", cause);
    absl::StrAppend(&text, "\"} ", mTraffic[i], "\n");
  }
  AppendHeader(&text, kStepMetric, "counter");
  for (const auto& [step, count] : mSteps) {
    absl::StrAppend(&text, kStepMetric.mName, "{step=\"", StepName(step));
    absl::StrAppend(&text, "\"} ", count, "\n");
  }
  AppendHeader(&text, kRefusalMetric, "counter");
  for (const auto& [key, count] : mRefusals) {
    const auto& [step, code, execution] = key;
    absl::StrAppend(&text, kRefusalMetric.mName, "{step=\"", StepName(step));
    absl::StrAppend(&text, "\",code=\"", ErrorCodeName(code), "\",ran=\"");
    absl::StrAppend(&text, ExecutionName(execution), "\"} ", count, "\n");
  }
  AppendHistograms(&text, kClassLatencyMetric, "class", mClasses);
  AppendHistograms(&text, kCallerLatencyMetric, "caller", mCallers);
  return text;
}

} // namespace verbenachute
