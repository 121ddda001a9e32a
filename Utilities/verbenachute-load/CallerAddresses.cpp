#include "CallerAddresses.h"

#include <Common/JsonText.h>
#include <LibCore/RendezvousHash.h>
#include <LibCore/SocketAddressText.h>

#include <utility>

namespace verbenachute::load {

namespace {

constexpr Duration kFetchTimeout = seconds(1);
constexpr Duration kPauseAfterFailure = milliseconds(100);

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
  const SocketAddress& node = mNodes[mNextNode++ % mNodes.size()];
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
    mLoop.After(kPauseAfterFailure, [this]() { Fetch(); });
    return;
  }
  mFetching = false;
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
