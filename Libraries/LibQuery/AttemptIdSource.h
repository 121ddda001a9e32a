#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace verbenachute {

/// Gives each attempt of a process an identifier of its own, in ascending
/// order.
class AttemptIdSource
{
public:
  explicit AttemptIdSource(AttemptId aFirst)
    : mNext(aFirst.value())
  {
  }

  [[nodiscard]] AttemptId Next() { return AttemptId(mNext++); }

private:
  std::uint64_t mNext;
};

} // namespace verbenachute
