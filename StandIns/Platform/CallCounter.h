#pragma once

#include <LibCore/Time.h>

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>

namespace verbenachute::standins {

enum class CallKind
{
  Read,
  Write,
};

/// Counts the calls of the platform by name and holds its rates. Windows are
/// whole seconds from the first call.
class CallCounter
{
public:
  enum class Verdict
  {
    WithinRate,
    OverRate,
  };

  /// Calls above a rate are refused; 0 stands for no limit.
  void SetRates(std::uint64_t aReadsPerSecond, std::uint64_t aWritesPerSecond);
  Verdict Count(const std::string& aName, CallKind aKind, Instant aNow);
  [[nodiscard]] Json::Value Summary() const;

private:
  struct Kind
  {
    std::uint64_t mTotal = 0;
    std::uint64_t mInWindow = 0;
    std::uint64_t mPeakInWindow = 0;
    std::uint64_t mRefused = 0;
    std::uint64_t mRate = 0;
  };

  Kind mReads;
  Kind mWrites;
  std::map<std::string, std::uint64_t> mByName;
  Instant mWindowStart;
};

} // namespace verbenachute::standins
