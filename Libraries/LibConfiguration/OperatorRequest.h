#pragma once

#include <LibConfiguration/Change.h>

#include <optional>

namespace verbenachute {

/// Whether a change is made or only shown.
enum class DryRun
{
  No,
  Yes,
};

/// A change that an operator asks for over HTTP.
struct OperatorChange
{
  /// Its wall time and groups are for the node to fill in.
  ChangeRequest mRequest;
  DryRun mDryRun = DryRun::No;
};

/// What an operator asks about.
enum class OperatorTopic
{
  Status,
  Nodes,
  Targets,
  Labels,
  Domains,
  Selectors,
  Explain,
  Policy,
  Pending,
  History,
  Document,
  Watch,
};

/// A question of an operator with its checked parameters.
struct OperatorQuestion
{
  OperatorTopic mTopic = OperatorTopic::Status;
  /// Targets: only this service.
  std::optional<ServiceName> mService;
  /// Explain: which target; required.
  TargetName mTarget;
  /// Explain and Targets: for which caller; empty for none in particular.
  CallerId mCaller;
  /// History: largest number of entries, newest first.
  std::size_t mLimit = 0;
  /// Watch: answer when the revision in force exceeds this one, or when mWait
  /// has passed.
  Revision mAfter;
  Duration mWait{ 0 };
};

} // namespace verbenachute
