#pragma once

#include <LibCore/Time.h>

namespace verbenachute::standins {

/// What happens to the bytes of one direction.
enum class Passage
{
  Open,
  /// Bytes wait, as in a network that is cut.
  Stopped,
};

/// How a forwarder treats its links at present.
struct ForwardingRules
{
  Passage mToServer = Passage::Open;
  Passage mToClient = Passage::Open;
  /// Delay of the bytes of each direction.
  Duration mDelay{ 0 };
};

} // namespace verbenachute::standins
