#pragma once

namespace verbenachute {

/// What a node does with requests of callers.
enum class ServingMode
{
  Serving,
  /// Serves, but is on its way out of the address answers.
  Leaving,
  /// Refuses new requests and finishes those in hand.
  Refusing,
};

} // namespace verbenachute
