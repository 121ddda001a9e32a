#pragma once

#include <LibDispatch/DispatchAction.h>
#include <LibDispatch/PoisonList.h>
#include <LibDispatch/TargetReply.h>
#include <LibDispatch/Work.h>

#include <set>

namespace verbenachute {

/// Tells the poison list what becomes of work, and the other nodes what the
/// list makes of it.
class PoisonWatch
{
public:
  PoisonWatch(NodeIdentity aSelf, const DispatchSettings& aSettings);

  [[nodiscard]] PoisonList& List() { return mList; }
  [[nodiscard]] const PoisonList& List() const { return mList; }
  [[nodiscard]] PoisonStanding StandingOf(const Work& aWork,
                                          Instant aNow) const;
  void OnRefused(const Work& aWork, Instant aNow, DispatchActions* aActions);
  void OnSent(const Work& aWork);
  void OnReply(const Work& aWork,
               const TargetReply& aReply,
               Instant aNow,
               DispatchActions* aActions);
  /// The connection of work was lost under the work. aRunning are all
  /// fingerprints that the target ran at that time.
  void OnLost(const Work& aWork,
              const std::set<Fingerprint>& aRunning,
              Instant aNow,
              DispatchActions* aActions);
  /// Nothing more will be known of the work.
  void OnEnded(const Work& aWork);

private:
  PoisonList mList;
};

} // namespace verbenachute
