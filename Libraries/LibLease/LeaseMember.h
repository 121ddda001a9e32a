#pragma once

#include <LibCore/Identifiers.h>

namespace verbenachute {

/// A live node that may hold buckets and vote, and where it stands.
struct LeaseMember
{
  NodeName mName;
  FailureDomain mDomain;

  friend bool operator==(const LeaseMember&, const LeaseMember&) = default;
};

} // namespace verbenachute
