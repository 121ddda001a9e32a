#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibQuery/AdmissionSettings.h>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace verbenachute {

/// Run the query now.
struct StartQuery
{
  QueryId mQuery;
};

/// Refuse the query; nothing of it has been sent.
struct RefuseQuery
{
  QueryId mQuery;
  Error mError;
};

using AdmissionAction = std::variant<StartQuery, RefuseQuery>;
using AdmissionActions = std::vector<AdmissionAction>;

/// Decides which queries a node runs, which wait and which it refuses before
/// anything of them is sent. Queued queries start by the weight of their
/// class, then in the order of their arrival.
class AdmissionControl
{
public:
  explicit AdmissionControl(AdmissionSettings aSettings);

  /// Takes a query that is of no use unless it starts before aStartBy. Queries
  /// arrive in ascending order of their identifiers. It may cost a queued
  /// query of a class with less weight its place.
  [[nodiscard]] AdmissionActions OnArrival(QueryId aQuery,
                                           const CallerClass& aClass,
                                           Instant aStartBy,
                                           Instant aNow);

  /// A query that was started is over.
  [[nodiscard]] AdmissionActions OnFinished(QueryId aQuery, Instant aNow);

  /// Drops a query from the queue, if it is there.
  void OnWithdrawn(QueryId aQuery);

  /// Refuses the queued queries that it is too late to start.
  [[nodiscard]] AdmissionActions OnTimer(Instant aNow);

  /// When OnTimer has something to do, if ever.
  [[nodiscard]] std::optional<Instant> NextWake() const;

  /// The class under whose limits a query of aClass counts.
  [[nodiscard]] const CallerClass& CountedClass(
    const CallerClass& aClass) const;

  [[nodiscard]] std::size_t RunningCount() const { return mRunning.size(); }
  [[nodiscard]] std::size_t QueuedCount() const { return mQueue.size(); }

private:
  struct ClassState
  {
    ClassLimits mLimits;
    std::uint32_t mRunning = 0;
    std::uint32_t mQueued = 0;
  };

  struct Waiting
  {
    ClassState* mClass = nullptr;
    Instant mStartBy;
  };

  /// The negated weight, then the identifier: the first starts first, and the
  /// last is shed first.
  using Place = std::pair<std::int64_t, QueryId>;
  using Queue = std::map<Place, Waiting>;

  [[nodiscard]] ClassState& StateOf(const CallerClass& aClass);
  [[nodiscard]] bool HasRoom(const ClassState& aClass) const;
  void Start(QueryId aQuery, ClassState& aClass);
  void Enqueue(QueryId aQuery,
               ClassState& aClass,
               Instant aStartBy,
               AdmissionActions& aActions);
  Queue::iterator Remove(Queue::iterator aPosition);

  AdmissionSettings mSettings;
  std::map<CallerClass, ClassState> mClasses;
  std::unordered_map<QueryId, ClassState*> mRunning;
  Queue mQueue;
};

} // namespace verbenachute
