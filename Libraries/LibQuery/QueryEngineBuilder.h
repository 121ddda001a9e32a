#pragma once

#include <LibCore/Error.h>
#include <LibQuery/QueryEngine.h>
#include <LibQuery/QueryEngineSettings.h>

#include <cstdint>
#include <memory>

namespace verbenachute {

/// Builds a query engine from settings that it checks.
class QueryEngineBuilder
{
public:
  /// Queries that the node runs and queues at one time; above zero.
  QueryEngineBuilder& Limits(std::uint32_t aRunning, std::uint32_t aQueued);
  /// Limits of a class; a later call for the same class counts.
  QueryEngineBuilder& Class(ClassLimits aLimits);
  /// Limits of all other classes together.
  QueryEngineBuilder& OtherClasses(ClassLimits aLimits);
  /// The quantile lies between 0 and 1; the delays are above zero.
  QueryEngineBuilder& Hedge(HedgeSettings aHedge, double aQuantile);
  /// The refill lies between 0 and 1000 thousandths.
  QueryEngineBuilder& Budget(RetryBudgetSettings aBudget);
  /// The margins are not negative; the backoff is above zero.
  QueryEngineBuilder& Timings(QueryTimings aTimings);
  QueryEngineBuilder& Seed(std::uint64_t aSeed);
  QueryEngineBuilder& FirstIdentifiers(QueryId aQuery, AttemptId aAttempt);

  /// The engine, or an InvalidInput error of step Settings that names the
  /// first setting out of range.
  [[nodiscard]] Result<std::unique_ptr<QueryEngine>> Build() const;

private:
  QueryEngineSettings mSettings;
};

} // namespace verbenachute
