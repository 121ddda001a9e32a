#pragma once

#include <LibConfiguration/FollowerAction.h>
#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace verbenachute {

/// Calls to the store or to peers that are in flight, by number. Call is what
/// the owner keeps of a call; its member mDeadline is an Instant.
template<typename Call>
class PendingCalls
{
public:
  [[nodiscard]] CallId Add(Call aCall)
  {
    const CallId id = NextId();
    mCalls.emplace(id, std::move(aCall));
    return id;
  }

  /// A number that no pending call has, for a call whose reply is ignored.
  [[nodiscard]] CallId NextId() { return CallId(++mLast); }

  /// Removes and returns a call; empty if it is not pending.
  [[nodiscard]] std::optional<Call> Take(CallId aId)
  {
    const auto found = mCalls.find(aId);
    if (found == mCalls.end()) {
      return std::nullopt;
    }
    std::optional<Call> call(std::move(found->second));
    mCalls.erase(found);
    return call;
  }

  /// Removes and returns the calls whose deadline has passed.
  [[nodiscard]] std::vector<Call> TakeExpired(Instant aNow)
  {
    std::vector<Call> late;
    std::erase_if(mCalls, [aNow, &late](const auto& aEntry) {
      const bool isLate = aEntry.second.mDeadline <= aNow;
      if (isLate) {
        late.push_back(aEntry.second);
      }
      return isLate;
    });
    return late;
  }

  void Clear() { mCalls.clear(); }
  [[nodiscard]] bool IsEmpty() const { return mCalls.empty(); }
  [[nodiscard]] std::size_t Count() const { return mCalls.size(); }

  /// The earliest of aWake and the deadlines of all calls.
  [[nodiscard]] Instant EarlierDeadline(Instant aWake) const
  {
    for (const auto& [id, call] : mCalls) {
      aWake = std::min(aWake, call.mDeadline);
    }
    return aWake;
  }

  template<typename Predicate>
  [[nodiscard]] bool HasAny(const Predicate& aPredicate) const
  {
    return std::any_of(
      mCalls.begin(), mCalls.end(), [&aPredicate](const auto& aEntry) {
        return aPredicate(aEntry.second);
      });
  }

private:
  std::map<CallId, Call> mCalls;
  std::uint64_t mLast = 0;
};

} // namespace verbenachute
