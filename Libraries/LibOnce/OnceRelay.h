#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/QueryAnswer.h>
#include <LibCore/Time.h>

#include <optional>
#include <variant>

namespace verbenachute {

/// Nothing to do until the next event.
struct RelayWait
{};

/// Send the request once to this life of a node, then wait for its outcome.
struct RelaySend
{
  NodeIdentity mHome;
};

/// Answer the caller.
struct RelayAnswer
{
  QueryOutcome mOutcome;
};

using RelayAction = std::variant<RelayWait, RelaySend, RelayAnswer>;

/// Passes one sending of a non-idempotent request to the node of its ticket.
///
/// It never says "not run" on its own: even if this sending did not leave,
/// another one may have reached the home through another node. It sends once
/// and does not send again; the caller repeats, and the home knows repeats.
class OnceRelay
{
public:
  /// Whether a link to the home stands.
  enum class HomeLink
  {
    Ready,
    Absent,
  };

  /// aDeadline is when the caller has to be answered.
  OnceRelay(RequestId aRequest, NodeIdentity aTicket, Instant aDeadline);

  /// aHome is the present life of the node that the ticket names, if any is
  /// known.
  [[nodiscard]] RelayAction Start(const std::optional<NodeIdentity>& aHome,
                                  HomeLink aLink,
                                  Instant aNow);
  /// The home sent an outcome. Outcomes of other requests are ignored.
  [[nodiscard]] RelayAction OnReply(const QueryOutcome& aOutcome);
  /// The link broke, or the message could not be written whole.
  [[nodiscard]] RelayAction OnLinkLost();
  [[nodiscard]] RelayAction Tick(Instant aNow);

  [[nodiscard]] const RequestId& Request() const { return mRequest; }
  [[nodiscard]] Instant Deadline() const { return mDeadline; }

private:
  enum class Phase
  {
    New,
    Sent,
    Answered,
  };

  RelayAction Answer(QueryOutcome aOutcome);
  RelayAction AnswerUnknown(ErrorCode aCode, const char* aMessage);

  RequestId mRequest;
  NodeIdentity mTicket;
  Instant mDeadline;
  Phase mPhase = Phase::New;
};

} // namespace verbenachute
