#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibForward/AttemptBudget.h>

#include <cstddef>
#include <functional>
#include <optional>

namespace verbenachute {

/// Why a node may not send to a target now.
enum class HoldReason
{
  None,
  /// The target has said that it is about to end.
  Leaving,
  /// The target has asked this node to send nothing for a while.
  Paused,
  /// The target is cold and this node has used up its share of the rate that
  /// such targets take.
  ColdRate,
  /// This node has used up its share of the rate that the target has named.
  NamedRate,
};

/// The name that is used in logs and metrics, such as "cold_rate".
[[nodiscard]] const char*
HoldReasonName(HoldReason aReason);

/// A target has begun or ceased to state why it wants fewer requests.
struct GateNotice
{
  TargetName mTarget;
  HoldReason mReason = HoldReason::None;
  /// Requests per second from all nodes for a rate, seconds for a pause; empty
  /// if the target no longer names a rate.
  std::optional<double> mValue;
};

/// A node's share of a rate that all nodes keep together.
struct RateShare
{
  /// Requests per second; 0 if other nodes use up the rate.
  double mPerSecond = 0;
  /// Requests that may be sent at once after a pause; at least 1.
  double mBurst = 1;
};

/// The shares that apply to a target now; empty where there is no limit.
struct TargetRateShares
{
  std::optional<RateShare> mCold;
  std::optional<RateShare> mNamed;
};

struct GateDecision
{
  HoldReason mReason = HoldReason::None;
  /// When the hold ends if nothing else is sent; empty if that is not known.
  std::optional<Instant> mEndsAt;

  [[nodiscard]] bool MaySend() const { return mReason == HoldReason::None; }
};

/// Decides whether this node may send to one target now, and if not, when. All
/// attempts ask here: first ones, hedges, retries, probes and those of
/// delegations.
class TargetGate
{
public:
  explicit TargetGate(Instant aNow);

  /// The target has stated the rate that it takes from all nodes, in requests
  /// per second, or with an empty value that it takes any.
  void OnNamedRate(std::optional<double> aPerSecond);
  [[nodiscard]] const std::optional<double>& NamedRate() const
  {
    return mNamedRate;
  }
  /// The target is about to end. There is no way back for this incarnation.
  void OnLeaving() { mIsLeaving = true; }
  [[nodiscard]] bool IsLeaving() const { return mIsLeaving; }
  /// The target wants nothing from this node until then. An earlier time than
  /// that of another response does not shorten the pause.
  void OnPaused(Instant aUntil);
  [[nodiscard]] Instant PausedUntil() const { return mPausedUntil; }
  /// Another process has taken the target's place, which has not stated
  /// anything. What has been sent of the rate for cold targets still counts.
  void OnRestarted(Instant aNow);
  /// A request is sent.
  void OnSent(const TargetRateShares& aShares, Instant aNow);
  /// aAhead is the number of requests that wait to be sent first.
  [[nodiscard]] GateDecision Decide(const TargetRateShares& aShares,
                                    AttemptPurpose aPurpose,
                                    double aAhead,
                                    Instant aNow) const;

  /// Counts the nodes before this one in the order of a target.
  using NodesBefore = std::function<std::size_t()>;

  /// Share of one of aNodes nodes of a cold target's rate. aNodesBefore is
  /// called only if not all nodes send.
  [[nodiscard]] static RateShare ColdShare(double aPerSecond,
                                           const NodesBefore& aNodesBefore,
                                           std::size_t aNodes);
  /// The same for a rate that a target has named.
  [[nodiscard]] static RateShare NamedShare(double aPerSecond,
                                            const NodesBefore& aNodesBefore,
                                            std::size_t aNodes);

private:
  class Bucket
  {
  public:
    explicit Bucket(Instant aNow)
      : mUpdated(aNow)
    {
    }
    [[nodiscard]] double Tokens(const RateShare& aShare, Instant aNow) const;
    void Take(const RateShare& aShare, Instant aNow);
    /// When there are as many tokens; empty if never.
    [[nodiscard]] std::optional<Instant> TimeOf(double aTokens,
                                                const RateShare& aShare,
                                                Instant aNow) const;

  private:
    /// Below 0 after sends that the share did not allow.
    double mTokens = 1;
    Instant mUpdated;
  };

  bool mIsLeaving = false;
  Instant mPausedUntil;
  std::optional<double> mNamedRate;
  Bucket mColdBucket;
  Bucket mNamedBucket;
};

} // namespace verbenachute
