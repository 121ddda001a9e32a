#pragma once

#include <LibCore/Error.h>
#include <LibObservation/EventNumber.h>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace verbenachute {

/// A key and value of a log event. The key ends in the unit, such as "age_ms".
struct LogField
{
  std::string mKey;
  std::variant<std::string, std::int64_t, double> mValue;

  friend bool operator==(const LogField&, const LogField&) = default;
};

/// Builder of one log event:
/// `aLogger.Log(LogEvent(EventNumber::PeerLost).Peer(name).With("age_ms", 5))`.
class LogEvent
{
public:
  explicit LogEvent(EventNumber aNumber)
    : mNumber(aNumber)
  {
  }

  /// The step at which the event arose.
  LogEvent& At(Step aStep)
  {
    mStep = aStep;
    return *this;
  }

  /// The node, target, caller or store that the event is about.
  LogEvent& Peer(std::string aPeer)
  {
    mPeer = std::move(aPeer);
    return *this;
  }

  /// Adds the step, peer, code and message of an error.
  LogEvent& WithError(const Error& aError)
  {
    At(aError.mStep).Peer(aError.mPeer);
    With("code", ErrorCodeName(aError.mCode));
    return With("message", aError.mMessage);
  }

  LogEvent& With(std::string aKey, std::string aValue)
  {
    mFields.push_back(LogField{ std::move(aKey), std::move(aValue) });
    return *this;
  }

  LogEvent& With(std::string aKey, std::integral auto aValue)
  {
    mFields.push_back(
      LogField{ std::move(aKey), static_cast<std::int64_t>(aValue) });
    return *this;
  }

  LogEvent& With(std::string aKey, double aValue)
  {
    mFields.push_back(LogField{ std::move(aKey), aValue });
    return *this;
  }

  [[nodiscard]] EventNumber Number() const { return mNumber; }
  /// Nothing if the event has no step.
  [[nodiscard]] std::optional<Step> EventStep() const { return mStep; }
  /// Empty if the event is not about a peer.
  [[nodiscard]] const std::string& EventPeer() const { return mPeer; }
  [[nodiscard]] const std::vector<LogField>& Fields() const { return mFields; }

private:
  EventNumber mNumber;
  std::optional<Step> mStep;
  std::string mPeer;
  std::vector<LogField> mFields;
};

} // namespace verbenachute
