#pragma once

#include <LibConfiguration/Configuration.h>

#include <memory>

namespace verbenachute {

/// A configuration of one service with any number of targets, spread over
/// two failure domains.
class SyntheticSite
{
public:
  explicit SyntheticSite(std::size_t aTargets);

  [[nodiscard]] static ServiceName Service();
  [[nodiscard]] static std::vector<FailureDomain> Domains();
  [[nodiscard]] const std::shared_ptr<const Configuration>& View() const;

private:
  std::shared_ptr<const Configuration> mView;
};

} // namespace verbenachute
