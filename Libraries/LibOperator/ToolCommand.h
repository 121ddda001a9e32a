#pragma once

#include <LibOperator/ExitStatus.h>
#include <LibOperator/ToolInput.h>
#include <LibTransport/HttpMessage.h>

#include <json/value.h>
#include <string>

namespace verbenachute {

/// How a command runs.
enum class CommandKind
{
  /// One request to the operator port of a node.
  Operator,
  /// One request to the caller port of a node.
  Caller,
  /// Questions to the operator port until the updates that were asked for.
  Watch,
  /// A query: asks for addresses first and tries them in order.
  Query,
  /// Writes the first configuration to the store itself.
  Bootstrap,
};

/// One command of the tool.
struct ToolCommand
{
  /// Words by which it is found, such as "label set".
  const char* mName;
  /// Words and flags that follow, for the help.
  const char* mArguments;
  const char* mMeaning;
  CommandKind mKind;
  /// Least and largest number of words after the name.
  std::size_t mLeastWords;
  std::size_t mMostWords;
  /// Builds the request; faults go to the input.
  HttpRequest (*mBuild)(ToolInput* aInput);
  /// The answer as text for a person.
  std::string (*mRender)(const Json::Value& aAnswer);
};

} // namespace verbenachute
