#pragma once

#include <LibDispatch/DispatchAction.h>
#include <LibDispatch/TargetLane.h>

#include <map>
#include <optional>

namespace verbenachute {

/// The cancellations under way at targets. Each takes a connection of the
/// holder's share.
class Cancellations
{
public:
  /// Asks the target to stop work that has been sent, once, if a connection is
  /// free for it. Work that is not cancelled ends at its deadline.
  void Ask(TargetLane& aLane, Work& aWork, DispatchActions* aActions);
  /// The target whose cancellation has ended, or nothing if none was asked.
  [[nodiscard]] std::optional<TargetName> Take(DispatchId aId);

private:
  std::map<DispatchId, TargetName> mAsked;
};

} // namespace verbenachute
