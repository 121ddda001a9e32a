#pragma once

#include <LibCore/Strong.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute::standins {

using KeyRevision = Strong<struct KeyRevisionTag, std::uint64_t>;
using LeaseId = Strong<struct LeaseIdTag, std::uint64_t>;

/// Whether a write or a removal took effect, and the revision of the key
/// after it; revision 0 stands for a key that does not exist.
struct WriteResult
{
  enum class Outcome
  {
    Applied,
    Conflict,
    UnknownLease,
  };

  Outcome mOutcome = Outcome::Conflict;
  KeyRevision mRevision;
};

struct KeyEntry
{
  std::string mValue;
  KeyRevision mRevision;
};

/// Keys with compare-and-swap, and leases with which keys go away.
class KeyStore
{
public:
  [[nodiscard]] const KeyEntry* Find(const std::string& aKey) const;

  /// Writes if the key is at the expected revision.
  WriteResult Put(const std::string& aKey,
                  std::string aValue,
                  KeyRevision aExpected,
                  std::optional<LeaseId> aLease);
  WriteResult Remove(const std::string& aKey, KeyRevision aExpected);

  LeaseId Grant(Duration aTimeToLive, Instant aNow);
  /// False if the lease has ended or was never granted.
  bool Renew(LeaseId aLease, Instant aNow);
  bool Revoke(LeaseId aLease);
  /// Ends leases that have run out and removes their keys.
  void Expire(Instant aNow);

private:
  struct Lease
  {
    Duration mTimeToLive{ 0 };
    Instant mEnd;
    std::vector<std::string> mKeys;
  };

  [[nodiscard]] KeyRevision RevisionOf(const std::string& aKey) const;

  std::map<std::string, KeyEntry> mEntries;
  /// Outlives the removal of a key, so that a key which comes back does not
  /// repeat a revision.
  std::map<std::string, KeyRevision> mLastRevisions;
  std::map<LeaseId, Lease> mLeases;
  std::uint64_t mLastLease = 0;
};

} // namespace verbenachute::standins
