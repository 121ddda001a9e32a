#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibObservation/Histogram.h>
#include <LibObservation/MetricCatalogue.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace verbenachute {

/// The metrics of one daemon. The number of callers and classes with histograms
/// of their own is limited, because their names come from outside the process.
class MetricsRegistry
{
public:
  static constexpr std::size_t kMaxClasses = 32;
  static constexpr std::size_t kMaxCallers = 200;
  /// Label shared by all callers or classes beyond these limits.
  static constexpr const char* kOverflowLabel = "other";

  void Add(Counter aCounter, std::uint64_t aAmount = 1);
  void Set(Gauge aGauge, std::uint64_t aValue);
  void CountStep(Step aStep);
  /// Adds payload bytes between this node's failure domain and another one.
  void AddTraffic(TrafficCause aCause, std::size_t aBytes);
  void CountRefusal(const Error& aError, Execution aExecution);
  void ObserveLatency(const CallerClass& aClass,
                      const CallerId& aCaller,
                      Duration aLatency);

  [[nodiscard]] std::uint64_t Value(Counter aCounter) const;

  /// All metrics in the Prometheus text exposition format, version 0.0.4.
  [[nodiscard]] std::string Exposition() const;

private:
  using RefusalKey = std::tuple<Step, ErrorCode, Execution>;
  using Histograms = std::map<std::string, Histogram>;

  std::array<std::uint64_t, static_cast<std::size_t>(Counter::Last) + 1>
    mCounters{};
  std::array<std::uint64_t, static_cast<std::size_t>(Gauge::Last) + 1>
    mGauges{};
  std::array<std::uint64_t, static_cast<std::size_t>(TrafficCause::Last) + 1>
    mTraffic{};
  std::map<Step, std::uint64_t> mSteps;
  std::map<RefusalKey, std::uint64_t> mRefusals;
  Histograms mClasses;
  Histograms mCallers;
};

} // namespace verbenachute
