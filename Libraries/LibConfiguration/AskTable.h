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

/// Questions that have not been answered, and when each is given up. Ask is
/// what is remembered of a question; its member mGivenUp is an Instant.
template<typename Ask>
class AskTable
{
public:
  [[nodiscard]] AskId Add(Ask aAsk)
  {
    const AskId id = NextId();
    mAsks.emplace(id, std::move(aAsk));
    return id;
  }

  /// An id that no question has, for one whose answer does not matter.
  [[nodiscard]] AskId NextId() { return AskId(++mLast); }

  /// Removes a question and gives it; none if it was removed before.
  [[nodiscard]] std::optional<Ask> Take(AskId aId)
  {
    const auto found = mAsks.find(aId);
    if (found == mAsks.end()) {
      return std::nullopt;
    }
    std::optional<Ask> ask(std::move(found->second));
    mAsks.erase(found);
    return ask;
  }

  /// Removes the questions that are to be given up by now.
  [[nodiscard]] std::vector<Ask> TakeLate(Instant aNow)
  {
    std::vector<Ask> late;
    std::erase_if(mAsks, [aNow, &late](const auto& aEntry) {
      const bool isLate = aEntry.second.mGivenUp <= aNow;
      if (isLate) {
        late.push_back(aEntry.second);
      }
      return isLate;
    });
    return late;
  }

  void Clear() { mAsks.clear(); }
  [[nodiscard]] bool IsEmpty() const { return mAsks.empty(); }
  [[nodiscard]] std::size_t Count() const { return mAsks.size(); }

  /// The earlier of aWake and the first time to give up a question.
  [[nodiscard]] Instant WakeBy(Instant aWake) const
  {
    for (const auto& [id, ask] : mAsks) {
      aWake = std::min(aWake, ask.mGivenUp);
    }
    return aWake;
  }

  template<typename Predicate>
  [[nodiscard]] bool HasAny(const Predicate& aPredicate) const
  {
    return std::any_of(
      mAsks.begin(), mAsks.end(), [&aPredicate](const auto& aEntry) {
        return aPredicate(aEntry.second);
      });
  }

private:
  std::map<AskId, Ask> mAsks;
  std::uint64_t mLast = 0;
};

} // namespace verbenachute
