#pragma once

#include "HttpClient.h"

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <functional>
#include <string>
#include <vector>

namespace verbenachute::load {

/// The addresses and the ticket that one caller got, which it keeps for as
/// long as they are valid and then asks for again.
class CallerAddresses
{
public:
  /// Both are empty as long as no node has answered.
  struct Answer
  {
    std::vector<SocketAddress> mAddresses;
    std::string mTicket;
  };
  using Callback = std::function<void(const Answer&)>;

  CallerAddresses(standins::EventLoop& aLoop,
                  HttpClient& aClient,
                  CallerId aCaller,
                  const std::vector<SocketAddress>& aNodes);

  /// Gives the valid answer at once, or asks for one first.
  void Ask(Callback aCallback);

private:
  void Fetch();
  void Take(const HttpReply& aReply);

  standins::EventLoop& mLoop;
  HttpClient& mClient;
  CallerId mCaller;
  const std::vector<SocketAddress>& mNodes;
  std::size_t mNextNode = 0;
  /// Attempts in a row that gave no answer.
  std::uint32_t mFailures = 0;
  Answer mAnswer;
  Instant mRefreshAt;
  Instant mValidUntil;
  bool mFetching = false;
  std::vector<Callback> mWaiting;
};

} // namespace verbenachute::load
