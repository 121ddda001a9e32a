#pragma once

#include <LibConfiguration/Change.h>
#include <LibConfiguration/Configuration.h>

#include <memory>

namespace verbenachute {

/// The first configuration of a store that has none.
struct Bootstrap
{
  /// The operation under which a repeat finds that it has been written.
  static constexpr const char* kOperation = "bootstrap";

  std::shared_ptr<const Configuration> mConfiguration;
  OperatorName mOperator;
  UnixMilliseconds mWallTime{ 0 };
};

/// The configuration with its first history entry added, at revision 1.
[[nodiscard]] Result<std::shared_ptr<const Configuration>>
BootstrapConfiguration(const Bootstrap& aBootstrap);

} // namespace verbenachute
