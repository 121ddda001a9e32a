#include "HttpOperatorClient.h"

#include <LibCore/SocketAddressText.h>
#include <LibTransport/HttpClientConnection.h>

#include <optional>

namespace verbenachute {

HttpOperatorClient::HttpOperatorClient(EventLoop& aLoop)
  : mLoop(aLoop)
{
}

Result<HttpReply>
HttpOperatorClient::Call(const SocketAddress& aNode,
                         const HttpRequest& aRequest,
                         Duration aTimeout)
{
  std::optional<HttpOutcome> outcome;
  HttpClientConnection connection(mLoop, aNode);
  connection.Send(aRequest, aTimeout, [&](const HttpOutcome& aOutcome) {
    outcome = aOutcome;
    mLoop.Stop();
  });
  mLoop.Run();
  const std::string peer = SocketAddressText(aNode);
  if (!outcome) {
    return Error{
      Step::Route, ErrorCode::Cancelled, peer, "the wait was interrupted"
    };
  }
  if (const HttpReply* reply = std::get_if<HttpReply>(&*outcome)) {
    return *reply;
  }
  const HttpFailure& failure = std::get<HttpFailure>(*outcome);
  const bool sent = failure.mExecution != Execution::NotRun;
  return Error{ Step::Route,
                sent ? ErrorCode::OutcomeUnknown : ErrorCode::Unreachable,
                peer,
                sent ? "the node did not answer"
                     : "the node can't be reached" };
}

} // namespace verbenachute
