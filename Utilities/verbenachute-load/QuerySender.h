#pragma once

#include "PlannedRequest.h"

#include <LibCore/Error.h>

#include <json/value.h>

#include <functional>

namespace verbenachute::load {

/// What came back for a request, over all of its sends.
struct SendResult
{
  /// Whether an answer came: the body is an answer, otherwise a refusal or
  /// null if no reply came at all.
  enum class Kind
  {
    Answer,
    Refusal,
    NoReply,
  };

  Kind mKind = Kind::NoReply;
  Json::Value mBody;
  /// What the callers may conclude from all replies together.
  Execution mExecution = Execution::OutcomeUnknown;
  std::uint32_t mSends = 0;
};

/// A way to run a request: through the nodes, or straight at the targets.
class QuerySender
{
public:
  using Callback = std::function<void(const SendResult&)>;

  virtual ~QuerySender() = default;
  virtual void Send(const PlannedRequest& aRequest, Callback aCallback) = 0;
};

} // namespace verbenachute::load
