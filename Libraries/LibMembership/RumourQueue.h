#pragma once

#include <LibMembership/MemberHeartbeat.h>

#include <cstdint>
#include <map>
#include <vector>

namespace verbenachute {

/// The rumours that this node passes on with its heartbeats. Each is sent a
/// bounded number of times, the least often sent first.
class RumourQueue
{
public:
  RumourQueue(std::size_t aPerMessage, std::size_t aRepeats);

  /// Takes a rumour in place of an older one about the same node.
  void Add(const MemberRumour& aRumour);

  /// The rumours for the next message.
  [[nodiscard]] std::vector<MemberRumour> Next();

private:
  /// Rumours kept; the most often sent goes first.
  static constexpr std::size_t kMaxKept = 64;

  struct Kept
  {
    MemberRumour mRumour;
    std::size_t mSent = 0;
  };

  void DropMostSent();

  std::size_t mPerMessage;
  std::size_t mRepeats;
  std::map<NodeName, Kept> mKept;
};

} // namespace verbenachute
