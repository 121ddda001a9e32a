#pragma once

#include "CallerAddresses.h"
#include "LoadSettings.h"
#include "QuerySender.h"

#include <map>
#include <memory>

namespace verbenachute::load {

/// Sends requests to the nodes, as callers do: to the addresses that they were
/// given, in that order, and again if the outcome is unknown.
class TierSender final : public QuerySender
{
public:
  TierSender(standins::EventLoop& aLoop, const LoadSettings& aSettings);

  void Send(const PlannedRequest& aRequest, Callback aCallback) override;

private:
  /// One request on its way, with all of its sends.
  struct Flight
  {
    PlannedRequest mRequest;
    Callback mCallback;
    CallerAddresses::Answer mAddresses;
    Instant mDeadline;
    std::uint32_t mOpen = 0;
    std::uint32_t mRetriesLeft = 0;
    std::size_t mNextAddress = 0;
    /// An unknown outcome of any send outweighs "not run" of another.
    bool mAnyUnknown = false;
    SendResult mResult;
  };

  void Launch(const std::shared_ptr<Flight>& aFlight);
  void Replied(const std::shared_ptr<Flight>& aFlight, const HttpReply& aReply);
  void TakeReply(Flight& aFlight, const HttpReply& aReply) const;
  [[nodiscard]] bool WantsRetry(const Flight& aFlight) const;

  standins::EventLoop& mLoop;
  const LoadSettings& mSettings;
  HttpClient mClient;
  std::map<CallerId, std::unique_ptr<CallerAddresses>> mCallers;
};

} // namespace verbenachute::load
