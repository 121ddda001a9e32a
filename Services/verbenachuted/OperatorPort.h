#pragma once

#include "OperatorStateSource.h"

#include <LibConfiguration/OperatorAnswers.h>
#include <LibConfiguration/OperatorRequestParser.h>
#include <LibHttp/HttpServer.h>
#include <LibOperator/WriteRunner.h>

#include <deque>
#include <list>

namespace verbenachute {

/// The HTTP interface for operators, as docs/INTERFACE.md describes it. Changes
/// are written to the store one at a time, so that those of one node don't race
/// with each other.
class OperatorPort
{
public:
  struct Dependencies
  {
    EventLoop& mLoop;
    KeyValueStore& mStore;
    OperatorStateSource& mSource;
    /// What the operators' connections may take.
    ClientResources mResources;
  };

  /// Fails with step Settings and code Unavailable if the address can not be
  /// bound.
  [[nodiscard]] static Result<std::unique_ptr<OperatorPort>> Create(
    const NodeIdentity& aSelf,
    const SocketAddress& aAddress,
    Dependencies aDependencies);

  /// Updates what is known of other nodes and answers the watches that are due
  /// or have timed out. To be called at least once a second.
  void OnTick();
  /// Number of changes that were received and not yet answered.
  [[nodiscard]] std::size_t InFlightCalls() const { return mChanges.size(); }

private:
  using Exchange = std::shared_ptr<HttpExchange>;

  struct WaitingChange
  {
    Exchange mExchange;
    OperatorChange mChange;
  };

  struct WaitingWatch
  {
    Exchange mExchange;
    OperatorQuestion mQuestion;
    Instant mEnd;
  };

  OperatorPort(const NodeIdentity& aSelf, Dependencies aDependencies);

  void Handle(const Exchange& aExchange);
  void HandleChange(const Exchange& aExchange);
  void HandleQuestion(const Exchange& aExchange);
  void BeginNextChange();
  void FinishChange(const Result<WriteOutcome>& aOutcome);
  [[nodiscard]] Result<ChangeOutcome> SimulateChange(
    const OperatorChange& aChange) const;
  void AnswerWatches();
  void UpdateNodes();
  [[nodiscard]] OperatorContext Context() const;
  static void Refuse(const Exchange& aExchange, const Error& aError);

  NodeIdentity mSelf;
  Dependencies mDependencies;
  std::unique_ptr<HttpServer> mServer;
  InForceTracker mTracker;
  /// The first one is being written.
  std::deque<WaitingChange> mChanges;
  std::uint64_t mLastWriter = 0;
  std::list<WaitingWatch> mWatches;
};

} // namespace verbenachute
