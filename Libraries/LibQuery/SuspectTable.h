#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <unordered_map>

namespace verbenachute {

/// Remembers for a while which queries may have crashed targets, whatever
/// request identifiers their callers give to the repeats.
class SuspectTable
{
public:
  void Suspect(Fingerprint aFingerprint, Instant aNow);
  /// The query ran without harm.
  void Clear(Fingerprint aFingerprint);
  [[nodiscard]] bool IsSuspect(Fingerprint aFingerprint, Instant aNow) const;

private:
  std::unordered_map<Fingerprint, Instant> mUntil;
};

} // namespace verbenachute
