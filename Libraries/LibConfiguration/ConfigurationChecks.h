#pragma once

#include <LibConfiguration/ConfigurationContent.h>

namespace verbenachute {

/// Whether all names follow the rules and refer to something registered. A
/// fault is InvalidInput at the step Configuration and names what is wrong.
[[nodiscard]] Result<Success>
CheckContent(const ConfigurationContent& aContent);

/// Checks of single entries, for edits; same error.
[[nodiscard]] Result<Success>
CheckDomain(const DomainEntry& aDomain);
[[nodiscard]] Result<Success>
CheckTarget(const TargetEntry& aTarget, const ConfigurationContent& aContent);
[[nodiscard]] Result<Success>
CheckLabel(std::string_view aKey, std::string_view aValue);
[[nodiscard]] Result<Success>
CheckSelector(const Selector& aSelector);
[[nodiscard]] Result<Success>
CheckPolicy(const std::vector<SteeringRule>& aRules);

} // namespace verbenachute
