#pragma once

#include <LibConfiguration/ConfigurationContent.h>

namespace verbenachute {

/// Fails with InvalidInput at step Configuration if a name is malformed or
/// refers to something that is not registered; the message names the fault.
[[nodiscard]] Result<Success>
CheckContent(const ConfigurationContent& aContent);

/// Checks of single entries, for edits; they fail in the same way.
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
