#pragma once

#include <LibConfiguration/InForceTracker.h>
#include <LibCore/Time.h>

#include <map>

namespace verbenachute {

/// When nodes were heard of last, so that those that have stopped are not
/// waited for any longer.
class SeenNodes
{
public:
  void OnSeen(const NodeIdentity& aNode, Instant aNow);
  /// Drops the nodes that nothing was heard of for kGoneAfter.
  void ForgetGone(InForceTracker* aTracker, Instant aNow);

  /// A node that is neither heard nor listed for so long has stopped.
  static constexpr Duration kGoneAfter = seconds(60);

private:
  std::map<NodeIdentity, Instant> mSeen;
};

} // namespace verbenachute
