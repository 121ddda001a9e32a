#include <LibObservation/HistogramDrawing.h>
#include <LibObservation/MetricsRegistry.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_CASE("The exposition contains counters, refusals and histograms")
{
  MetricsRegistry registry;
  registry.Add(Counter::Hedges, 3);
  registry.Set(Gauge::MembersAlive, 9);
  registry.CountStep(Step::Gate);
  registry.AddTraffic(TrafficCause::Hedge, 1200);
  registry.AddTraffic(TrafficCause::Hedge, 50);
  registry.CountRefusal(Error{ Step::Admission, ErrorCode::Overloaded, "", "" },
                        Execution::NotRun);
  registry.ObserveLatency(
    CallerClass("field"), CallerId("van\"17"), milliseconds(3));
  registry.ObserveLatency(CallerClass("field"), CallerId("b"), seconds(60));
  const std::string text = registry.Exposition();
  for (const char* line :
       { "verbenachute_hedges_total 3\n",
         "verbenachute_members_alive_nodes 9\n",
         "verbenachute_cross_domain_bytes_total{cause=\"hedge\"} 1250\n",
         "verbenachute_cross_domain_bytes_total{cause=\"report\"} 0\n",
         "verbenachute_step_requests_total{step=\"gate\"} 1\n",
         "verbenachute_refused_requests_total{step=\"admission\","
         "code=\"overloaded\",ran=\"not run\"} 1\n",
         "_class_latency_seconds_bucket{class=\"field\",le=\"0.002\"} 0\n",
         "_class_latency_seconds_bucket{class=\"field\",le=\"0.004\"} 1\n",
         "_class_latency_seconds_bucket{class=\"field\",le=\"10\"} 1\n",
         "_class_latency_seconds_bucket{class=\"field\",le=\"+Inf\"} 2\n",
         "_class_latency_seconds_sum{class=\"field\"} 60.003\n",
         "_class_latency_seconds_count{class=\"field\"} 2\n",
         "_caller_latency_seconds_count{caller=\"van\\\"17\"} 1\n" }) {
    CAPTURE(line);
    CHECK(Contains(text, line));
  }
}

TEST_CASE("Callers beyond the limit share one histogram")
{
  MetricsRegistry registry;
  for (std::size_t i = 0; i < MetricsRegistry::kMaxCallers + 50; ++i) {
    registry.ObserveLatency(CallerClass(std::to_string(i)),
                            CallerId(std::to_string(i)),
                            milliseconds(1));
  }
  const std::string text = registry.Exposition();
  CHECK(Contains(text, "_caller_latency_seconds_count{caller=\"other\"} 50\n"));
  CHECK(Contains(text, "_class_latency_seconds_count{class=\"other\"} 218\n"));
  CHECK_FALSE(Contains(text, "caller=\"240\""));
}

TEST_CASE("A histogram is parsed, added and drawn")
{
  MetricsRegistry registry;
  for (int i = 0; i < 40; ++i) {
    registry.ObserveLatency(
      CallerClass("field"), CallerId("a"), milliseconds(i < 39 ? 3 : 60000));
  }
  const Result<std::vector<HistogramBucket>> buckets = ReadHistogram(
    registry.Exposition(), kClassLatencyMetric.mName, "class=\"field\"");
  REQUIRE(!IsError(buckets));
  REQUIRE(ValueOf(buckets).size() == Histogram::kBounds.size() + 1);
  CHECK(ValueOf(buckets)[3] == HistogramBucket{ 0.004, 39 });
  const Result<std::vector<HistogramBucket>> sum =
    AddHistograms(ValueOf(buckets), ValueOf(buckets));
  REQUIRE(!IsError(sum));
  const std::string drawing = DrawHistogram(ValueOf(sum), 20);
  CHECK(Contains(drawing, "      4 ms         78 ####################\n"));
  CHECK(Contains(drawing, "      more          2 #\n"));
}

TEST_CASE("Text without a valid histogram of that name is an error")
{
  const auto codeOf = [](const char* aText) {
    const Result<std::vector<HistogramBucket>> buckets =
      ReadHistogram(aText, "m", "c=\"x\"");
    return IsError(buckets) ? ErrorCodeName(ErrorOf(buckets).mCode) : "none";
  };
  CHECK(std::string(codeOf("")) == "not_found");
  CHECK(std::string(codeOf("m_bucket{c=\"y\",le=\"1\"} 2")) == "not_found");
  CHECK(std::string(codeOf("m_bucket{c=\"x\",le=\"1")) == "invalid_input");
  CHECK(std::string(codeOf("m_bucket{c=\"x\",le=\"1\"} 2\n"
                           "m_bucket{c=\"x\",le=\"2\"} 1")) == "invalid_input");
  CHECK(IsError(AddHistograms({ HistogramBucket{ 1, 1 } }, {})));
}

} // namespace verbenachute
