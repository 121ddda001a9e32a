#pragma once

#include <LibCore/Identifiers.h>

namespace verbenachute {

/// Whether operators have taken a failure domain out.
enum class DomainState
{
  In,
  /// Its targets take no new work.
  Out,
};

/// A failure domain as the operators registered it.
struct DomainEntry
{
  FailureDomain mName;
  Region mRegion;
  DomainState mState = DomainState::In;

  friend bool operator==(const DomainEntry&, const DomainEntry&) = default;
};

} // namespace verbenachute
