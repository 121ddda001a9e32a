#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibTransport/HttpMessage.h>

namespace verbenachute {

/// Speaks to a port of a node, one request after the other.
class OperatorClient
{
public:
  virtual ~OperatorClient() = default;

  /// Waits for the reply. Unreachable if no byte was sent, and OutcomeUnknown
  /// if the request may have arrived.
  [[nodiscard]] virtual Result<HttpReply> Call(const SocketAddress& aNode,
                                               const HttpRequest& aRequest,
                                               Duration aTimeout) = 0;
};

} // namespace verbenachute
