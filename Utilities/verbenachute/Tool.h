#pragma once

#include "OperatorClient.h"

#include <LibOperator/ToolCommand.h>
#include <LibTransport/EventLoop.h>

namespace verbenachute {

/// Runs one command of the tool.
class Tool
{
public:
  Tool(EventLoop& aLoop, OperatorClient& aClient);

  /// Prints the answer to the standard output, an error to the standard
  /// error output, and gives the exit status.
  [[nodiscard]] ExitStatus Run(const ToolInput& aInput);

private:
  [[nodiscard]] ExitStatus RunOnce(const ToolCommand& aCommand,
                                   const HttpRequest& aRequest,
                                   ToolInput* aInput);
  [[nodiscard]] ExitStatus RunWatch(const ToolCommand& aCommand,
                                    HttpRequest aRequest,
                                    ToolInput* aInput);
  [[nodiscard]] ExitStatus RunQuery(const ToolCommand& aCommand,
                                    HttpRequest aRequest,
                                    ToolInput* aInput);
  [[nodiscard]] ExitStatus RunHistogram(const HttpRequest& aRequest,
                                        ToolInput* aInput);
  [[nodiscard]] ExitStatus RunBootstrap(ToolInput* aInput);

  [[nodiscard]] Result<Json::Value> Ask(const SocketAddress& aNode,
                                        const HttpRequest& aRequest,
                                        Duration aTimeout);
  void Print(const ToolCommand& aCommand,
             const Json::Value& aAnswer,
             const ToolInput& aInput) const;
  [[nodiscard]] ExitStatus Fail(const Error& aError,
                                const ToolInput& aInput) const;

  EventLoop& mLoop;
  OperatorClient& mClient;
};

} // namespace verbenachute
