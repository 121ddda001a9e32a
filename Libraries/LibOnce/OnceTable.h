#pragma once

#include <LibCore/QueryAnswer.h>
#include <LibOnce/OnceDecision.h>
#include <LibOnce/OnceRequest.h>
#include <LibOnce/TicketIssuer.h>

#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace verbenachute {

/// Decides whether a sending of a non-idempotent request runs, so that each
/// request runs at most once.
///
/// The daemon asks this table before it refuses such a request for any reason
/// but its shape, and reports every end of a run with Finish, refusals by
/// admission included. Otherwise it could say "not run" of a request of which
/// another sending runs.
class OnceTable
{
public:
  struct Settings
  {
    std::size_t mMaxEntries = 100'000;
    /// Bound of the memory of all entries.
    std::size_t mMaxBytes = 32u << 20u;
    /// A larger outcome is not kept, only whether the request ran.
    std::size_t mMaxOutcomeBytes = 16u << 10u;
    /// Sendings of one request that wait for its outcome.
    std::size_t mMaxWaiters = 16;
    TicketIssuer::Settings mTickets;
  };

  OnceTable(NodeIdentity aSelf, Settings aSettings, Instant aNow);

  /// The ticket to hand out with address answers now.
  [[nodiscard]] NodeIdentity CurrentTicket(Instant aNow);
  [[nodiscard]] Duration TicketValidity() const;

  [[nodiscard]] OnceDecision Decide(const OnceRequest& aRequest, Instant aNow);

  /// Keeps the outcome of a request that Decide let run, and returns who
  /// waits for it, the sending that started the run included.
  [[nodiscard]] std::vector<WaiterId> Finish(const OnceKey& aKey,
                                             const QueryOutcome& aOutcome,
                                             Instant aNow);

  /// Forgets requests whose ticket has run out. Returns the waiters whose own
  /// time is over while the request still runs; their outcome is unknown.
  [[nodiscard]] std::vector<WaiterId> Tick(Instant aNow);

  /// Forgets a sending whose connection is gone. The run goes on.
  void DropWaiter(const OnceKey& aKey, WaiterId aWaiter);

  /// Refuses new requests from now on; repeats are still answered.
  void RefuseNew();

  [[nodiscard]] std::size_t Entries() const { return mEntries.size(); }
  [[nodiscard]] std::size_t Bytes() const { return mBytes; }
  /// Requests that run now.
  [[nodiscard]] std::size_t Running() const { return mRunning; }

private:
  struct Waiter
  {
    WaiterId mId;
    Instant mDeadline;
  };

  enum class Phase
  {
    Running,
    Done,
  };

  struct Entry
  {
    Fingerprint mFingerprint;
    NodeIdentity mTicket;
    Instant mForgetAt;
    Phase mPhase = Phase::Running;
    /// Set once the request is done.
    QueryOutcome mOutcome;
    std::size_t mBytes = 0;
    std::vector<Waiter> mWaiters;
  };

  OnceDecision DecideKnown(const OnceRequest& aRequest,
                           Entry& aEntry,
                           TicketIssuer::Standing aStanding,
                           Instant aNow);
  OnceDecision DecideNew(const OnceRequest& aRequest,
                         TicketIssuer::Standing aStanding,
                         Instant aNow);
  OnceDecision Run(const OnceRequest& aRequest, Entry& aEntry, Instant aNow);
  OnceDecision Join(const OnceRequest& aRequest, Entry& aEntry, Instant aNow);
  bool HasRoomFor(const OnceKey& aKey) const;
  bool MayRunAgain(const OnceRequest& aRequest, const Entry& aEntry) const;
  void Keep(const OnceKey& aKey, Entry& aEntry, const QueryOutcome& aOutcome);
  void Extend(const NodeIdentity& aTicket, const OnceKey& aKey, Entry& aEntry);
  void Forget(Instant aNow);

  Settings mSettings;
  TicketIssuer mTickets;
  std::map<OnceKey, Entry> mEntries;
  /// Keys by the instant at which they are forgotten.
  std::set<std::pair<Instant, OnceKey>> mForgetQueue;
  /// Deadlines of all waiters.
  std::set<std::tuple<Instant, OnceKey, WaiterId>> mDeadlines;
  std::size_t mBytes = 0;
  std::size_t mRunning = 0;
};

} // namespace verbenachute
