#include "Flags.h"
#include "HttpOperatorClient.h"
#include "Tool.h"

#include <LibOperator/ToolCommandTable.h>

#include <cstdio>
#include <unistd.h>

int
main(int aCount, char** aWords)
{
  using namespace verbenachute;
  const Result<ToolInput> input =
    ReadToolInput(aCount, aWords, environ, ToolUsage());
  if (IsError(input)) {
    std::fprintf(stderr, "verbenachute: %s\n", ErrorOf(input).mMessage.c_str());
    return static_cast<int>(ExitStatus::BadInput);
  }
  const Result<std::unique_ptr<EventLoop>> loop = EventLoop::Create();
  if (IsError(loop)) {
    std::fprintf(stderr, "verbenachute: %s\n", ErrorOf(loop).mMessage.c_str());
    return static_cast<int>(ExitStatus::Internal);
  }
  EventLoop& running = *ValueOf(loop);
  HttpOperatorClient client(running);
  Tool tool(running, client);
  return static_cast<int>(tool.Run(ValueOf(input)));
}
