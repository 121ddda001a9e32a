#pragma once

#include <LibCore/Time.h>
#include <LibStore/StoreMirror.h>

#include <map>
#include <string>

namespace verbenachute {

/// Cache of encoded store updates for peers. After a change many peers request
/// the same update within a short time, so it is encoded only once.
class StoreUpdateCache
{
public:
  /// The encoded changes after a position, or a complete copy if the mirror no
  /// longer records the removals since then or is of another era. The reference
  /// is valid until the next call.
  [[nodiscard]] const std::string& Changes(const StoreMirror& aMirror,
                                           StorePosition aAfter,
                                           Instant aNow);
  /// The encoded complete copy. The reference is valid until the next call.
  [[nodiscard]] const std::string& Copy(const StoreMirror& aMirror,
                                        Instant aNow);
  /// Frees the cache, which can take megabytes, if nothing was requested for
  /// kKept.
  void OnTime(Instant aNow);

  /// How long the cache is kept after the last request.
  static constexpr Duration kKept = seconds(2);
  /// Maximum number of encoded changes. Most peers request those since one of
  /// the last few revisions.
  static constexpr std::size_t kMost = 8;

private:
  /// Clears the cache if the mirror has another position, and notes the
  /// request.
  void DiscardOutdated(const StoreMirror& aMirror, Instant aNow);

  StorePosition mPosition;
  Instant mLastRequest;
  std::map<StoreRevision, std::string> mChanges;
  std::string mCopy;
};

} // namespace verbenachute
