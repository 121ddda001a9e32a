#pragma once

#include <LibCore/Strong.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute::standins {

/// The platform's key-value service without its wire: one revision counter
/// over all keys, a history of changes, transactions and leases.
class StoreModel
{
public:
  using LeaseNumber = std::uint64_t;

  struct Item
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
    /// 0: the key stays.
    LeaseNumber mLease = 0;
  };

  /// A key as it was written, or that it was removed.
  struct Event
  {
    std::string mKey;
    std::uint64_t mRevision = 0;
    std::optional<Item> mItem;
  };

  struct Row
  {
    std::string mKey;
    /// 0: the key must not exist.
    std::uint64_t mRevision = 0;
  };

  struct Write
  {
    std::string mKey;
    std::string mValue;
    LeaseNumber mLease = 0;
  };

  enum class Outcome
  {
    Done,
    PreconditionFailed,
    UnknownLease,
  };

  /// A copy of the service at one moment, without its leases.
  struct Copy
  {
    std::uint64_t mRevision = 1;
    LeaseNumber mLastLease = 0;
    std::map<std::string, Item> mItems;
  };

  [[nodiscard]] std::uint64_t Revision() const { return mRevision; }
  [[nodiscard]] const Item* Find(const std::string& aKey) const;
  [[nodiscard]] const std::map<std::string, Item>& Items() const
  {
    return mItems;
  }

  /// All or nothing.
  Outcome Transact(const std::vector<Row>& aPrecondition,
                   const std::vector<Write>& aWrites,
                   const std::vector<std::string>& aDeletes);
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);

  LeaseNumber Grant(Duration aLife, Instant aNow);
  /// False if the lease has ended or was never granted.
  bool Renew(LeaseNumber aLease, Instant aNow);
  bool End(LeaseNumber aLease);
  void Expire(Instant aNow);

  /// Changes after a revision; nothing if they are not kept any more.
  [[nodiscard]] std::optional<std::vector<Event>> Since(
    std::uint64_t aAfter) const;
  void ForgetHistory();

  [[nodiscard]] Copy MakeCopy() const;
  /// Goes back to a copy: later writes, all leases and the keys on them are
  /// lost, and revisions are handed out again.
  void Restore(const Copy& aCopy);
  /// Number of times that it was restored.
  [[nodiscard]] std::uint64_t Era() const { return mEra; }

private:
  struct Lease
  {
    Duration mLife{ 0 };
    Instant mEnd;
  };

  void RemoveAt(const std::string& aKey, std::uint64_t aRevision);

  std::uint64_t mEra = 0;
  std::uint64_t mRevision = 1;
  /// Changes up to this revision are not kept.
  std::uint64_t mForgotten = 0;
  std::map<std::string, Item> mItems;
  std::deque<Event> mHistory;
  std::map<LeaseNumber, Lease> mLeases;
  LeaseNumber mLastLease = 0;
};

} // namespace verbenachute::standins
