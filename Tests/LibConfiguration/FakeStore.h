#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace verbenachute {

/// The platform's store in memory: keys with revisions that never repeat.
class FakeStore
{
public:
  struct Value
  {
    std::string mText;
    std::uint64_t mRevision = 0;
  };

  [[nodiscard]] const Value* Find(const std::string& aKey) const
  {
    const auto found = mValues.find(aKey);
    return found == mValues.end() ? nullptr : &found->second;
  }

  /// The revision that was written, or none if the key was at another one.
  std::optional<std::uint64_t> Swap(const std::string& aKey,
                                    const std::string& aText,
                                    std::uint64_t aExpected)
  {
    const Value* known = Find(aKey);
    if ((known ? known->mRevision : 0) != aExpected) {
      return std::nullopt;
    }
    mValues[aKey] = { aText, ++mLastRevision };
    return mLastRevision;
  }

  void Remove(const std::string& aKey) { mValues.erase(aKey); }
  [[nodiscard]] const std::map<std::string, Value>& Values() const
  {
    return mValues;
  }

private:
  std::map<std::string, Value> mValues;
  std::uint64_t mLastRevision = 0;
};

} // namespace verbenachute
