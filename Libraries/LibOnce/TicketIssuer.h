#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <deque>
#include <optional>

namespace verbenachute {

/// Issues the tickets of one life of one node and knows which it honours.
///
/// A ticket is a NodeIdentity with the name of the node and the number of a
/// generation. The first generation has the number of the node's own
/// incarnation; a new one with a larger number begins after each issue
/// period. Requests are remembered until their generation runs out, so a
/// ticket is never honoured longer than what ran under it is remembered. The
/// generations of an earlier life are unknown to this one.
class TicketIssuer
{
public:
  struct Settings
  {
    /// Time for which one generation is issued.
    Duration mIssuePeriod = seconds(60);
    /// Time for which a caller may use a ticket, from its issue.
    Duration mValidity = seconds(600);
    /// Time that a ticket may spend on its way to a caller and back.
    Duration mMargin = seconds(60);
    /// Shortest time between two generations, which bounds their number.
    Duration mShortestPeriod = seconds(1);
  };

  enum class Standing
  {
    /// New requests may run under the ticket.
    Open,
    /// Repeats are answered, new requests are refused for ever.
    Closed,
    /// Issued by another life, or run out.
    Unknown,
  };

  TicketIssuer(NodeIdentity aSelf, Settings aSettings, Instant aNow);

  /// The ticket to hand out now.
  [[nodiscard]] NodeIdentity Current(Instant aNow);

  [[nodiscard]] Standing StandingOf(const NodeIdentity& aTicket,
                                    Instant aNow) const;

  /// The instant at which a known ticket runs out.
  [[nodiscard]] std::optional<Instant> RunsOutAt(
    const NodeIdentity& aTicket) const;

  /// Refuses new requests under every ticket issued so far, for ever.
  void CloseIssued();
  /// Closes every ticket and opens no further generation.
  void End();

  [[nodiscard]] const NodeIdentity& Self() const { return mSelf; }
  [[nodiscard]] Duration Validity() const { return mSettings.mValidity; }

private:
  struct Generation
  {
    Incarnation mNumber;
    Instant mStart;
    Standing mStanding = Standing::Open;
  };

  enum class Issue
  {
    Going,
    Ended,
  };

  bool IsDue(Instant aNow) const;
  void Begin(Instant aNow);
  const Generation* Find(const NodeIdentity& aTicket) const;
  Instant EndOf(const Generation& aGeneration) const;

  NodeIdentity mSelf;
  Settings mSettings;
  Instant mStart;
  /// Ascending by number; the last one is issued.
  std::deque<Generation> mGenerations;
  Issue mIssue = Issue::Going;
};

} // namespace verbenachute
