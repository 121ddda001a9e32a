#pragma once

#include <LibCore/Time.h>
#include <LibEntry/OperatorConfiguration.h>
#include <LibStore/StoreItem.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace verbenachute {

/// Decides when this node writes the operators' configuration in force again,
/// because the restored store has an older one or lacks parts of it. The nodes
/// take turns in the order of their ranks, so that usually one of them writes.
/// Idle in era 0.
class ConfigurationRestore
{
public:
  struct Inputs
  {
    StoreEra mEra;
    const WriterBase& mInForce;
    /// The store's keys of this product.
    const OperatorConfiguration::Keys& mStored;
    /// Number of nodes whose turn is before this node's.
    std::size_t mRank = 0;
  };

  struct Rewrite
  {
    /// Keys and values of the parts that the store lacks.
    std::vector<std::pair<std::string, std::string>> mParts;
    /// The head, to be written after the parts on the condition that the
    /// store's is unchanged; empty if the store has it.
    std::optional<std::string> mHead;
  };

  /// Time for a reading of all keys after the rise of the era.
  static constexpr Duration kFirstTurn = seconds(1);
  /// Time for one node to write all parts, and for the others to hear of it.
  static constexpr Duration kTurn = seconds(2);
  /// From the end of an attempt of this node to the next.
  static constexpr Duration kRetryTime = seconds(5);
  static constexpr Duration kCheckInterval = milliseconds(500);

  [[nodiscard]] std::optional<Rewrite> OnTime(const Inputs& aInputs,
                                              Instant aNow);
  void OnRewriteEnded(Instant aNow);

private:
  [[nodiscard]] static std::optional<Rewrite> Missing(const Inputs& aInputs);

  Instant mNextCheck;
  Instant mNextAttempt;
  std::optional<Instant> mMissingSince;
  bool mIsWriting = false;
};

} // namespace verbenachute
