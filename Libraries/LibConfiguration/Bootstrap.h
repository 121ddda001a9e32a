#pragma once

#include <LibConfiguration/Change.h>
#include <LibConfiguration/Configuration.h>

#include <memory>

namespace verbenachute {

/// The first configuration of a store that has none.
struct Bootstrap
{
  /// Operation id, by which a repeated bootstrap is recognized.
  static constexpr const char* kOperation = "bootstrap";

  std::shared_ptr<const Configuration> mConfiguration;
  OperatorName mOperator;
  UnixMilliseconds mWallTime{ 0 };
};

/// The configuration with its first history entry added, at revision 1.
[[nodiscard]] Result<std::shared_ptr<const Configuration>>
BootstrapConfiguration(const Bootstrap& aBootstrap);

} // namespace verbenachute
