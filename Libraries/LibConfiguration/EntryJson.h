#pragma once

#include <LibConfiguration/HistoryEntry.h>
#include <LibConfiguration/LabelSet.h>

#include <json/value.h>

namespace verbenachute {

/// JSON shapes of single entries, as in docs/design/configuration.md. Reading
/// is strict; faults are InvalidInput at the step Parse.

[[nodiscard]] Json::Value
TargetJson(const TargetEntry& aTarget);
[[nodiscard]] Result<TargetEntry>
ReadTarget(const Json::Value& aValue);

[[nodiscard]] Json::Value
LabelsJson(const LabelSet& aLabels);
[[nodiscard]] Result<LabelSet>
ReadLabels(const Json::Value& aValue);

[[nodiscard]] Json::Value
SelectorJson(const Selector& aSelector);
[[nodiscard]] Result<Selector>
ReadSelector(const Json::Value& aValue);

[[nodiscard]] Json::Value
SteeringRuleJson(const SteeringRule& aRule);
[[nodiscard]] Result<SteeringRule>
ReadSteeringRule(const Json::Value& aValue);

[[nodiscard]] Json::Value
DifferenceJson(const Difference& aDifference);
[[nodiscard]] Result<Difference>
ReadDifference(const Json::Value& aValue);

[[nodiscard]] Json::Value
ProposalJson(const Proposal& aProposal);
[[nodiscard]] Result<Proposal>
ReadProposal(const Json::Value& aValue);

[[nodiscard]] Json::Value
HistoryJson(const HistoryEntry& aEntry);
[[nodiscard]] Result<HistoryEntry>
ReadHistory(const Json::Value& aValue);

/// An array of texts from any range of strings or strong strings.
template<typename Range>
[[nodiscard]] Json::Value
TextsJson(const Range& aRange)
{
  Json::Value texts(Json::arrayValue);
  for (const std::string& text : aRange) {
    texts.append(text);
  }
  return texts;
}

} // namespace verbenachute
