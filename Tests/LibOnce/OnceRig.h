#pragma once

#include <LibOnce/OnceRelay.h>
#include <LibOnce/OnceTable.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace verbenachute {

/// Several nodes with their OnceTables and OnceRelays over a fake network
/// and a fake target that counts executions. A caller's sending has a number.
class OnceRig
{
public:
  static constexpr Duration kHop = milliseconds(1);
  static constexpr Duration kQueueAtHome = milliseconds(2);
  static constexpr Duration kRunAtTarget = milliseconds(10);
  static constexpr Duration kTickPeriod = milliseconds(5);

  OnceRig(std::size_t aNodes, OnceTable::Settings aSettings);

  /// The ticket that a node issues now; nothing if it is down or frozen.
  std::optional<NodeIdentity> TicketOf(std::size_t aNode);
  /// Sends logical request aId to a node and returns the sending's number.
  std::size_t Send(std::size_t aNode,
                   std::uint64_t aId,
                   const NodeIdentity& aTicket,
                   Duration aTimeLeft,
                   std::uint64_t aBody = 0);
  void Kill(std::size_t aNode);
  void Restart(std::size_t aNode);
  void Freeze(std::size_t aNode);
  void Thaw(std::size_t aNode);
  /// Drops what goes from one node to the other, in this direction only.
  void Cut(std::size_t aFrom, std::size_t aTo);
  void Heal(std::size_t aFrom, std::size_t aTo);
  /// Loses the answers of a node to its callers from now on.
  void LoseReplies(std::size_t aNode);

  void RunFor(Duration aTime);

  /// The outcome of a sending, if its caller has got one.
  [[nodiscard]] std::optional<Execution> OutcomeOf(std::size_t aSending) const;
  [[nodiscard]] std::size_t Executions(std::uint64_t aId) const;
  /// The first broken promise; empty if all hold.
  [[nodiscard]] std::string Violation() const;
  /// A sending that its node should have answered by now; empty if none.
  [[nodiscard]] std::string Unanswered() const;

private:
  struct Sending
  {
    std::size_t mNode = 0;
    std::uint64_t mId = 0;
    NodeIdentity mTicket;
    std::uint64_t mBody = 0;
    Instant mDeadline;
    std::optional<Execution> mOutcome{};
    /// Its connection broke with its node.
    bool mLost = false;
    int mAnswers = 0;
  };

  struct Run
  {
    std::uint64_t mId = 0;
    NodeIdentity mTicket;
    std::uint64_t mBody = 0;
    Instant mDeadline;
    bool mDispatched = false;
  };

  struct Relay
  {
    OnceRelay mMachine;
    std::size_t mSending = 0;
  };

  enum class Condition
  {
    Running,
    Frozen,
    Down,
  };

  struct Node
  {
    NodeIdentity mIdentity;
    std::optional<OnceTable> mTable;
    Condition mCondition = Condition::Running;
    bool mLosesReplies = false;
    /// Whether a Tick is due; a node without work needs none.
    bool mTicks = false;
    std::vector<std::function<void()>> mBacklog;
    std::map<OnceKey, Run> mRuns;
    std::map<std::uint64_t, Relay> mRelays;
    /// Who waits for each WaiterId of the table.
    std::map<WaiterId, std::function<void(const QueryOutcome&)>> mWaiters;
  };

  /// Does something on a node if this life of it still runs, after a thaw if
  /// it is frozen.
  void At(Instant aTime, std::size_t aNode, std::function<void()> aWork);
  void ToLife(std::size_t aNode,
              Incarnation aLife,
              const std::function<void()>& aWork);
  void Take(std::size_t aNode,
            OnceRequest aRequest,
            std::size_t aSending,
            const std::function<void(const QueryOutcome&)>& aReply);
  void StartRelay(std::size_t aNode, std::size_t aSending);
  void OnRelayAction(std::size_t aNode,
                     std::uint64_t aRelay,
                     const RelayAction& aAction);
  void SendRelayed(std::size_t aFrom, std::uint64_t aRelay);
  void StartRun(std::size_t aNode, const OnceKey& aKey, std::size_t aSending);
  void Dispatch(std::size_t aNode, const OnceKey& aKey);
  void FinishRun(std::size_t aNode,
                 const OnceKey& aKey,
                 const QueryOutcome& aOutcome);
  void AnswerSending(std::size_t aNode,
                     std::size_t aSending,
                     const QueryOutcome& aOutcome);
  void KeepTicking(std::size_t aNode);
  void Tick(std::size_t aNode);
  std::size_t IndexOf(const NodeName& aName) const;
  OnceRequest RequestOf(std::size_t aSending, OnceOrigin aOrigin) const;

  OnceTable::Settings mSettings;
  Instant mNow{ seconds(1000) };
  std::vector<Node> mNodes;
  std::multimap<Instant, std::function<void()>> mEvents;
  std::set<std::pair<std::size_t, std::size_t>> mCuts;
  std::vector<Sending> mSendings;
  /// Executions by logical request, ticket and body.
  std::map<std::tuple<std::uint64_t, NodeIdentity, std::uint64_t>, int>
    mExecutions;
  std::uint64_t mNextNumber = 1;
};

} // namespace verbenachute
