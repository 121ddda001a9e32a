#pragma once

#include "ForwardedLink.h"
#include "ForwardingRules.h"

#include <Common/HttpServer.h>

#include <map>
#include <memory>

struct evconnlistener;

namespace verbenachute::standins {

/// Forwards connections from one port to another, and on its control port
/// takes POST /control with {"command":C}: "stop" with "direction" "to_server",
/// "to_client" or "both", "resume", "delay" with "ms", and "close", which
/// closes all links.
class Forwarder final : public HttpHandler
{
public:
  Forwarder(EventLoop& aLoop,
            const SocketAddress& aListen,
            SocketAddress aServer,
            SocketAddress aControl);
  ~Forwarder() override;
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  void RequestReceived(const HttpRequest& aRequest) override;

private:
  static void Accepted(evconnlistener* aListener,
                       int aSocket,
                       sockaddr* aPeer,
                       int aPeerLength,
                       void* aForwarder);
  [[nodiscard]] bool Command(const Json::Value& aCommand);
  void Stop(const Json::Value& aParameters);
  void Resume(const Json::Value& aParameters);
  void Delay(const Json::Value& aParameters);
  void Close(const Json::Value& aParameters);
  void Drop(ForwardedLink* aLink);

  EventLoop& mLoop;
  SocketAddress mServerAddress;
  ForwardingRules mRules;
  evconnlistener* mListener = nullptr;
  std::map<ForwardedLink*, std::shared_ptr<ForwardedLink>> mLinks;
  HttpServer mControl;
};

} // namespace verbenachute::standins
