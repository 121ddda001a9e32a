#pragma once

#include <LibCore/Time.h>

#include <map>
#include <vector>

namespace verbenachute {

/// Removes the keys whose time has come and returns them in ascending order.
template<typename Key>
[[nodiscard]] std::vector<Key>
TakeDueKeys(std::map<Key, Instant>* aDueTimes, Instant aNow)
{
  std::vector<Key> due;
  for (auto entry = aDueTimes->begin(); entry != aDueTimes->end();) {
    if (entry->second > aNow) {
      ++entry;
      continue;
    }
    due.push_back(entry->first);
    entry = aDueTimes->erase(entry);
  }
  return due;
}

} // namespace verbenachute
