#pragma once

#include <LibDispatch/Work.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace verbenachute {

/// The sub-queries at a gate, each with one timer. It knows a sub-query that
/// comes twice, also some time after the first one has ended.
class WorkTable
{
public:
  /// Takes in a sub-query; its timer stands at its deadline.
  Work& Insert(const SubQuery& aSubQuery,
               const NodeIdentity& aOrigin,
               Instant aNow);
  /// Whether the sub-query is here or a non-idempotent one has been lately.
  [[nodiscard]] bool IsKnown(const NodeIdentity& aOrigin,
                             AttemptId aAttempt) const;
  [[nodiscard]] Work* Find(DispatchId aId);
  [[nodiscard]] const Work* Find(DispatchId aId) const;
  [[nodiscard]] std::optional<DispatchId> FindAttempt(
    const NodeIdentity& aOrigin,
    AttemptId aAttempt) const;
  [[nodiscard]] std::vector<DispatchId> OfQuery(const NodeIdentity& aOrigin,
                                                QueryId aQuery) const;
  void Erase(DispatchId aId, Instant aNow);
  /// Remembers a non-idempotent sub-query that was refused at once, so that a
  /// repeat of it does not make the refusal untrue.
  void RememberRefused(const SubQuery& aSubQuery,
                       const NodeIdentity& aOrigin,
                       Instant aNow);

  void SetTimer(DispatchId aId, Instant aAt);
  /// The work whose timers have run out; each is reported once.
  [[nodiscard]] std::vector<DispatchId> TakeDue(Instant aNow);
  [[nodiscard]] std::optional<Instant> NextTimer() const;
  [[nodiscard]] std::size_t size() const { return mWork.size(); }

private:
  using Origin = std::pair<NodeIdentity, AttemptId>;

  void RememberEnded(const Origin& aOrigin, Instant aNow);

  std::uint64_t mLastId = 0;
  std::unordered_map<DispatchId, Work> mWork;
  std::map<Origin, DispatchId> mByOrigin;
  std::unordered_map<DispatchId, Instant> mTimers;
  std::set<std::pair<Instant, DispatchId>> mTimerOrder;
  std::set<Origin> mEnded;
  std::deque<std::pair<Instant, Origin>> mEndedOrder;
};

} // namespace verbenachute
