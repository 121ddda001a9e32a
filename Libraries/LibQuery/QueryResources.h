#pragma once

#include <LibQuery/AttemptIdSource.h>
#include <LibQuery/HedgePolicy.h>
#include <LibQuery/LatencyEstimator.h>
#include <LibQuery/QueryCounters.h>
#include <LibQuery/QueryPlanner.h>
#include <LibQuery/QueryTimings.h>
#include <LibQuery/ReplicaSelector.h>
#include <LibQuery/RetryBudget.h>

namespace verbenachute {

/// What the queries of one node share. All of it outlives the queries.
struct QueryResources
{
  QueryPlanner& mPlanner;
  ReplicaSelector& mSelector;
  RetryBudget& mBudget;
  /// Of the service that the query asks.
  LatencyEstimator& mLatency;
  const HedgePolicy& mHedgePolicy;
  AttemptIdSource& mAttemptIds;
  QueryCounters& mCounters;
  const QueryTimings& mTimings;
  /// The class whose budget pays for the query.
  const CallerClass& mBudgetClass;
};

} // namespace verbenachute
