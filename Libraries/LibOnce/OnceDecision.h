#pragma once

#include <LibCore/QueryAnswer.h>
#include <LibOnce/OnceRequest.h>

#include <variant>

namespace verbenachute {

/// Run the request, then tell OnceTable::Finish its outcome, whatever it is.
struct OnceRun
{
  OnceKey mKey;
};

/// The request runs already; OnceTable::Finish will name this waiter.
struct OnceJoin
{};

/// The request has an outcome; answer with it.
struct OnceReplay
{
  QueryOutcome mOutcome;
};

/// Another node remembers requests under this ticket; start an OnceRelay.
struct OnceRelayTo
{
  NodeIdentity mTicket;
};

/// Why a request is refused without being run.
enum class OnceRefusalReason
{
  MissingTicket,
  /// The ticket has run out, or another life of this node issued it.
  TicketUnknown,
  /// A peer relayed a request whose ticket names a third node.
  Misrouted,
  /// The request id stands for a request with another body.
  Conflict,
  /// No further request can be remembered.
  Full,
  /// More sendings of one request wait than are kept.
  TooManyWaiters,
};

/// Answer with this refusal; its execution is what can truly be said.
struct OnceRefuse
{
  OnceRefusalReason mReason;
  QueryRefusal mRefusal;
};

using OnceDecision =
  std::variant<OnceRun, OnceJoin, OnceReplay, OnceRelayTo, OnceRefuse>;

} // namespace verbenachute
