#pragma once

#include <LibControl/ControlMethods.h>

#include <memory>
#include <string>

namespace verbenachute {

/// Answers the JSON-RPC requests of peers through libjsonrpccpp. The bytes
/// come from the links of the loop and not from a connector of that library,
/// since its connectors start threads.
class ControlServer
{
public:
  explicit ControlServer(ControlMethods aMethods);
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  /// The JSON-RPC reply to a request. A malformed request or an unknown
  /// method gives a JSON-RPC error.
  [[nodiscard]] std::string Answer(const NodeIdentity& aPeer,
                                   const std::string& aRequest);

private:
  class Connector;
  class Handler;

  std::unique_ptr<Connector> mConnector;
  std::unique_ptr<Handler> mHandler;
};

} // namespace verbenachute
