#pragma once

#include "SteeringSource.h"

#include <LibConfiguration/OperatorAnswers.h>
#include <LibConfiguration/OperatorRequestParser.h>
#include <LibOperator/WriteRunner.h>
#include <LibTransport/HttpServer.h>

#include <deque>
#include <list>

namespace verbenachute {

/// The HTTP interface for operators, as docs/INTERFACE.md describes it. Its
/// changes are written one after the other, so that those of one node don't
/// race with each other.
class OperatorPort
{
public:
  struct Dependencies
  {
    EventLoop& mLoop;
    KeyValueStore& mStore;
    SteeringSource& mSource;
  };

  [[nodiscard]] static Result<std::unique_ptr<OperatorPort>> Create(
    const NodeIdentity& aSelf,
    const SocketAddress& aAddress,
    Dependencies aDependencies);

  /// Brings what is known of other nodes up to date and answers watches that
  /// have waited long enough. Called every second at least.
  void OnTick();
  /// Changes that have arrived and are not answered.
  [[nodiscard]] std::size_t InHand() const { return mChanges.size(); }

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
  [[nodiscard]] Result<ChangeOutcome> Try(const OperatorChange& aChange) const;
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
