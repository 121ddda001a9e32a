#pragma once

#include "Callers.h"
#include "EntrySearcher.h"
#include "FaultPlan.h"
#include "StoreServer.h"

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace verbenachute::standins {

/// Whether bounds in real time are checked, which a machine that is busy with
/// other work may break.
enum class TimingChecks
{
  On,
  Off,
};

/// One run of a whole deployment around nodes that run as processes of their
/// own: the store, the targets, the callers and the operators, with the faults
/// of a seed. What is done to processes is printed, one command a line, for a
/// script to carry out:
///   signal NODE SIGNAL, start NODE, reload NODE
class Soak
{
public:
  /// Whether there are faults, callers and operators around the nodes.
  enum class Activity
  {
    Full,
    /// Only the store and the targets run, until the process is ended.
    None,
  };

  struct Settings
  {
    std::uint64_t mSeed = 1;
    Duration mLength = seconds(30);
    SocketAddress mStore;
    /// Ports of targets begin here.
    SocketAddress mFirstTarget;
    std::vector<NodeFacts> mNodes;
    /// Operators' addresses of the nodes, in the same order.
    std::vector<SocketAddress> mOperators;
    std::string mRegion;
    std::vector<std::string> mDomains;
    double mRate = 120;
    /// Share of requests that crash the targets that run them.
    double mCrashShare = 0;
    TimingChecks mTiming = TimingChecks::On;
    Activity mActivity = Activity::Full;
    /// Bytes of a response of the single service; 0: a few records.
    std::size_t mSingleBytes = 0;
  };

  [[nodiscard]] static Result<std::unique_ptr<Soak>> Create(
    EventLoop& aLoop,
    const Settings& aSettings);

  /// Begins; the loop is stopped at the end.
  void Start();
  [[nodiscard]] const Promises& Outcome() const { return mPromises; }

private:
  Soak(EventLoop& aLoop, const Settings& aSettings);

  void AddSearchers();
  enum class PlanSize
  {
    Small,
    /// Near the largest value that the store takes.
    Large,
  };

  void AcceptPlan(PlanSize aSize);
  void Begin(const PlannedFault& aFault);
  void BeginNodeFault(const PlannedFault& aFault);
  void BeginStoreFault(const PlannedFault& aFault);
  /// Keeps copies of the store for a restore.
  void CopyStore();
  /// Brings the store back from an old copy. Targets and operators write again
  /// what it lacks.
  void RestoreStore();
  void RewriteOperatorsKeys();
  void BeginSearcherFault(const PlannedFault& aFault);
  void BeginOperatorAct(const PlannedFault& aFault);
  /// The node is started again after its absence.
  void EndNode(std::size_t aNode, const char* aSignal, Duration aAbsence);
  void TakeDomainOut(const FailureDomain& aDomain, Duration aLength);
  void Evacuate(const FailureDomain& aDomain, Duration aLength);
  void Drain(EntrySearcher* aSearcher, Duration aLength);
  /// All searchers of the single service crash and are back soon after each
  /// other, cold and under their names.
  void ReturnCold(Duration aAbsence);
  /// Asks a node of the product to make a change; nothing is expected unless
  /// it is accepted.
  void AskOperator(const std::string& aType,
                   const FailureDomain& aDomain,
                   std::function<void()> aAccepted);
  void After(Duration aDelay, std::function<void()> aTask);
  void End();

  EventLoop& mLoop;
  Settings mSettings;
  Promises mPromises;
  StoreModel mModel;
  /// The last copies of the store, the oldest first.
  std::deque<StoreModel::Copy> mCopies;
  /// Last plan that an operator wrote.
  std::string mPlan;
  /// Keys of the evacuations that last.
  std::set<std::string> mEvacuations;
  std::unique_ptr<StoreServer> mStore;
  std::vector<std::unique_ptr<EntrySearcher>> mSearchers;
  Callers mCallers;
  std::vector<std::unique_ptr<Timer>> mTimers;
  std::vector<std::unique_ptr<HttpClientStream>> mOperatorStreams;
  std::uint64_t mVersion = 0;
  std::uint64_t mOperation = 0;
  std::size_t mServedBeforeCalm = 0;
  std::size_t mSentBeforeCalm = 0;
  /// Nodes that are being killed, stopped or frozen.
  std::vector<bool> mBusy;
  int mStoreFaults = 0;
};

} // namespace verbenachute::standins
