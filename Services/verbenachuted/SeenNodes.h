#pragma once

#include <LibConfiguration/InForceTracker.h>
#include <LibCore/Time.h>

#include <map>

namespace verbenachute {

/// Records when nodes were last seen, so that the tracker of a configuration
/// revision does not wait for nodes that have stopped.
class SeenNodes
{
public:
  void OnSeen(const NodeIdentity& aNode, Instant aNow);
  /// Removes from the tracker the nodes that were not seen for
  /// kStoppedAfter.
  void ForgetGone(InForceTracker* aTracker, Instant aNow);

  /// A node that was neither in contact nor listed for this time has stopped.
  static constexpr Duration kStoppedAfter = seconds(60);

private:
  std::map<NodeIdentity, Instant> mSeen;
};

} // namespace verbenachute
