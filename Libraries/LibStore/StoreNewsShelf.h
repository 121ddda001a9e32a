#pragma once

#include <LibCore/Time.h>
#include <LibStore/StoreMirror.h>

#include <map>
#include <string>

namespace verbenachute {

/// Encoded news of the store for peers. After a change many of them ask for the
/// same within a moment, so it is encoded once for them.
class StoreNewsShelf
{
public:
  /// What has changed after a revision; a whole copy if the mirror does not
  /// remember that far. The text holds until the next call.
  [[nodiscard]] const std::string& Changes(const StoreMirror& aMirror,
                                           StoreRevision aAfter,
                                           Instant aNow);
  [[nodiscard]] const std::string& Copy(const StoreMirror& aMirror,
                                        Instant aNow);
  /// Frees what was not asked for lately; it can be megabytes.
  void OnTime(Instant aNow);

  /// How long encoded news stays after it was asked for.
  static constexpr Duration kKept = seconds(2);
  /// Most peers ask for one of the last few revisions.
  static constexpr std::size_t kMost = 8;

private:
  /// Forgets what is not of the mirror's revision.
  void Refresh(const StoreMirror& aMirror, Instant aNow);

  StoreRevision mAt;
  Instant mAsked;
  std::map<StoreRevision, std::string> mChanges;
  std::string mCopy;
};

} // namespace verbenachute
