#include "Forwarder.h"

#include <Common/JsonText.h>
#include <LibCore/Verify.h>

#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <utility>

namespace verbenachute::standins {

Forwarder::Forwarder(EventLoop& aLoop,
                     const SocketAddress& aListen,
                     SocketAddress aServer,
                     SocketAddress aControl)
  : mLoop(aLoop)
  , mServerAddress(std::move(aServer))
  , mControl(aLoop, std::move(aControl), *this)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aListen.mPort);
  inet_pton(AF_INET, aListen.mHost.c_str(), &address.sin_addr);
  mListener = evconnlistener_new_bind(aLoop.Base(),
                                      &Accepted,
                                      this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                      -1,
                                      reinterpret_cast<sockaddr*>(&address),
                                      sizeof(address));
  VERIFY(mListener);
}

Forwarder::~Forwarder()
{
  evconnlistener_free(mListener);
}

void
Forwarder::Accepted(evconnlistener*,
                    int aSocket,
                    sockaddr*,
                    int,
                    void* aForwarder)
{
  Forwarder* forwarder = static_cast<Forwarder*>(aForwarder);
  const std::shared_ptr<ForwardedLink> link = std::make_shared<ForwardedLink>(
    forwarder->mLoop,
    forwarder->mRules,
    aSocket,
    forwarder->mServerAddress,
    [forwarder](ForwardedLink* aLink) { forwarder->Drop(aLink); });
  forwarder->mLinks.emplace(link.get(), link);
}

void
Forwarder::RequestReceived(const HttpRequest& aRequest)
{
  const std::optional<Json::Value> command = ParseJsonObject(aRequest.mBody);
  const bool known = command && Command(*command);
  mControl.Reply(
    aRequest.mConnection, known ? 200 : 400, Json::Value(Json::objectValue));
}

bool
Forwarder::Command(const Json::Value& aCommand)
{
  using Method = void (Forwarder::*)(const Json::Value&);
  static const std::map<std::string, Method> kCommands = {
    { "stop", &Forwarder::Stop },
    { "resume", &Forwarder::Resume },
    { "delay", &Forwarder::Delay },
    { "close", &Forwarder::Close },
  };
  const auto found = kCommands.find(aCommand.get("command", "").asString());
  if (found == kCommands.end()) {
    return false;
  }
  (this->*found->second)(aCommand);
  return true;
}

void
Forwarder::Stop(const Json::Value& aParameters)
{
  const std::string direction = aParameters.get("direction", "both").asString();
  if (direction != "to_client") {
    mRules.mToServer = Passage::Stopped;
  }
  if (direction != "to_server") {
    mRules.mToClient = Passage::Stopped;
  }
}

void
Forwarder::Resume(const Json::Value&)
{
  mRules.mToServer = Passage::Open;
  mRules.mToClient = Passage::Open;
  for (const auto& [key, link] : mLinks) {
    link->Resume();
  }
}

void
Forwarder::Delay(const Json::Value& aParameters)
{
  mRules.mDelay = milliseconds(aParameters.get("ms", 0).asInt64());
}

void
Forwarder::Close(const Json::Value&)
{
  mLinks.clear();
}

void
Forwarder::Drop(ForwardedLink* aLink)
{
  const auto found = mLinks.find(aLink);
  if (found == mLinks.end()) {
    return;
  }
  // The link is the caller of this function.
  mLoop.After(Duration::zero(), [kept = found->second]() {});
  mLinks.erase(found);
}

} // namespace verbenachute::standins
