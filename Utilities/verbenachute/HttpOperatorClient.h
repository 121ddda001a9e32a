#pragma once

#include "OperatorClient.h"

#include <LibTransport/EventLoop.h>

namespace verbenachute {

/// The client over HTTP. It runs the loop until a reply is there.
class HttpOperatorClient final : public OperatorClient
{
public:
  explicit HttpOperatorClient(EventLoop& aLoop);

  [[nodiscard]] Result<HttpReply> Call(const SocketAddress& aNode,
                                       const HttpRequest& aRequest,
                                       Duration aTimeout) override;

private:
  EventLoop& mLoop;
};

} // namespace verbenachute
