#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibQuery/ShardMap.h>

#include <pcg_random.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace verbenachute {

/// How an attempt at a target ended, as far as it tells of the target.
enum class ReplicaObservation
{
  Answered,
  /// Cancelled when another attempt had won; the time is a lower bound.
  Cancelled,
  Overloaded,
  Failed,
  /// Says nothing about the target, such as a version that is gone.
  Neutral,
};

/// Orders replicas by what this node has seen of them: latency, work in hand,
/// failures and overload. It takes nothing from health or load endpoints.
class ReplicaSelector
{
public:
  /// Puts the replicas of one shard in the order in which to try them. The
  /// better of two drawn at random comes first, so that nodes with the same
  /// view do not all choose the same target; the rest follow by their cost,
  /// and warming targets come last.
  void Order(std::vector<ShardReplica>& aReplicas,
             Instant aNow,
             pcg32& aRandom);

  /// Counts an attempt that is planned but not sent, so that the shards of one
  /// plan spread over their targets; until ReleaseReserved.
  void Reserve(const TargetName& aTarget);
  void ReleaseReserved();

  void OnSent(const TargetName& aTarget);

  /// Notes the end of an attempt that OnSent has noted. aElapsed is the time
  /// from its sending.
  void OnEnded(const TargetName& aTarget,
               ReplicaObservation aObservation,
               Duration aElapsed,
               Instant aNow);

  /// Forgets targets without work in hand that were not used since aBefore.
  void ForgetIdle(Instant aBefore);

private:
  struct Record
  {
    /// Moving average in microseconds.
    double mLatency = 0;
    double mPenalty = 0;
    Instant mPenaltyAt;
    Instant mUsedAt;
    std::uint32_t mInHand = 0;
    std::uint32_t mReserved = 0;
  };

  [[nodiscard]] double Cost(const TargetName& aTarget, Instant aNow) const;
  static void Penalise(Record& aRecord, double aAmount, Instant aNow);

  std::unordered_map<TargetName, Record> mRecords;
  std::vector<TargetName> mReserved;
};

} // namespace verbenachute
