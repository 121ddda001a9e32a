#include "CallerAddresses.h"

#include <Common/JsonText.h>
#include <LibCore/RendezvousHash.h>
#include <LibCore/SocketAddressText.h>

#include <utility>

namespace verbenachute::load {

namespace {

/// Short enough to ask a second node before the answer in hand runs out.
constexpr Duration kFetchTimeout = milliseconds(250);
constexpr Duration kPauseAfterFailure = milliseconds(50);

} // namespace

CallerAddresses::CallerAddresses(standins::EventLoop& aLoop,
                                 HttpClient& aClient,
                                 CallerId aCaller,
                                 const std::vector<SocketAddress>& aNodes)
  : mLoop(aLoop)
  , mClient(aClient)
  , mCaller(std::move(aCaller))
  , mNodes(aNodes)
  , mNextNode(StableHash(mCaller.value()) % aNodes.size())
{
}

void
CallerAddresses::Ask(Callback aCallback)
{
  const Instant now = mLoop.Now();
  if (now >= mRefreshAt && !mFetching) {
    Fetch();
  }
  if (now < mValidUntil) {
    aCallback(mAnswer);
    return;
  }
  mWaiting.push_back(std::move(aCallback));
}

void
CallerAddresses::Fetch()
{
  mFetching = true;
  // The first attempt goes to the node that was told as the best; the caller's
  // own list of nodes may name one that has gone.
  const bool first = mFailures == 0 && !mAnswer.mAddresses.empty();
  const SocketAddress& node =
    first ? mAnswer.mAddresses.front() : mNodes[mNextNode++ % mNodes.size()];
  mClient.Send(
    HttpExchange{
      node, "/v1/addresses?caller=" + mCaller.value(), "", kFetchTimeout },
    [this](const HttpReply& aReply) { Take(aReply); });
}

void
CallerAddresses::Take(const HttpReply& aReply)
{
  const std::optional<Json::Value> body =
    standins::ParseJsonObject(aReply.mBody);
  if (aReply.mStatus != 200 || !body || (*body)["addresses"].empty()) {
    ++mFailures;
    mLoop.After(kPauseAfterFailure, [this]() { Fetch(); });
    return;
  }
  mFetching = false;
  mFailures = 0;
  mAnswer = Answer{};
  for (const Json::Value& text : (*body)["addresses"]) {
    const Result<SocketAddress> address = ParseSocketAddress(text.asString());
    if (!IsError(address)) {
      mAnswer.mAddresses.push_back(ValueOf(address));
    }
  }
  mAnswer.mTicket = body->get("ticket", "").asString();
  const Duration validity = milliseconds((*body)["valid_for_ms"].asInt64());
  const Instant now = mLoop.Now();
  mValidUntil = now + validity;
  // Asked early, so that requests do not wait for the next answer.
  mRefreshAt = now + validity / 2;
  std::vector<Callback> waiting;
  waiting.swap(mWaiting);
  for (const Callback& callback : waiting) {
    callback(mAnswer);
  }
}

} // namespace verbenachute::load
