#pragma once

#include <LibCore/Identifiers.h>
#include <LibQuery/AdmissionSettings.h>
#include <LibQuery/HedgePolicy.h>
#include <LibQuery/QueryTimings.h>
#include <LibQuery/RetryBudget.h>

#include <cstdint>

namespace verbenachute {

/// Settings of a QueryEngine; QueryEngineBuilder checks them.
struct QueryEngineSettings
{
  AdmissionSettings mAdmission;
  HedgeSettings mHedge;
  /// Quantile of the latency after which the adaptive policy hedges. The share
  /// above it stays below the budget's refill, which pays for retries as well.
  double mHedgeQuantile = 0.96;
  RetryBudgetSettings mBudget;
  QueryTimings mTimings;
  /// Seed of the random choice among replicas.
  std::uint64_t mSeed = 0;
  /// First identifiers to use. A process that lets them grow from its
  /// incarnation is never given answers of its earlier life.
  QueryId mFirstQuery{ 1 };
  AttemptId mFirstAttempt{ 1 };
};

} // namespace verbenachute
