#pragma once

#include <LibConfiguration/Change.h>

#include <optional>

namespace verbenachute {

/// Whether a change is applied or only evaluated.
enum class DryRun
{
  No,
  Yes,
};

/// A change that an operator requests over HTTP.
struct OperatorChange
{
  /// The node fills in the wall time and the groups.
  ChangeRequest mRequest;
  DryRun mDryRun = DryRun::No;
};

/// Subject of a query by an operator.
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

/// A query by an operator with its validated parameters.
struct OperatorQuestion
{
  OperatorTopic mTopic = OperatorTopic::Status;
  /// Targets: only this service.
  std::optional<ServiceName> mService;
  /// Explain: the target; required.
  TargetName mTarget;
  /// Explain and Targets: the caller; empty for no particular one.
  CallerId mCaller;
  /// History: largest number of entries, newest first.
  std::size_t mLimit = 0;
  /// Watch: answer when the revision in force exceeds this one, or when mWait
  /// has passed.
  Revision mAfter;
  Duration mWait{ 0 };
};

} // namespace verbenachute
