#pragma once

#include <LibConfiguration/ConfigurationEditor.h>
#include <LibConfiguration/InForceTracker.h>
#include <LibConfiguration/OperatorRequest.h>

#include <json/value.h>
#include <optional>
#include <set>

namespace verbenachute {

/// State of a node from which it answers operators.
struct OperatorContext
{
  /// In force at this node; null before the first configuration.
  std::shared_ptr<const Configuration> mConfiguration;
  /// Largest revision that any source is known to have.
  Revision mKnown;
  /// Age of the last confirmation that the revision is the latest.
  std::optional<Duration> mConfirmedAge;
  const InForceTracker& mTracker;
  /// Failure domains that get no new work for another reason than the
  /// operators' configuration, such as by the platform.
  std::set<FailureDomain> mDomainsOut;
};

/// Answers of the operators' interface as JSON; see docs/INTERFACE.md.
class OperatorAnswers
{
public:
  /// NotFound without a configuration or for an unknown target.
  [[nodiscard]] static Result<Json::Value> Answer(
    const OperatorQuestion& aQuestion,
    const OperatorContext& aContext);

  /// Whether a watch is due to be answered.
  [[nodiscard]] static bool IsDue(const OperatorQuestion& aWatch,
                                  const OperatorContext& aContext);

  /// The answer to an accepted change or to a dry run.
  [[nodiscard]] static Json::Value ChangeAnswer(const OperatorChange& aChange,
                                                const ChangeOutcome& aOutcome);

  /// The answer to a refused request.
  [[nodiscard]] static Json::Value ErrorAnswer(const Error& aError);
  /// HTTP status of an error.
  [[nodiscard]] static int StatusOf(ErrorCode aCode);
};

} // namespace verbenachute
