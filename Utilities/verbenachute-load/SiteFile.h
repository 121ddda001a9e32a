#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>

#include <map>
#include <string>
#include <vector>

namespace verbenachute::load {

/// A service of a site and the share of the load that it gets.
struct SiteService
{
  ServiceName mName;
  CallerClass mClass;
  /// Share of the arrivals, relative to the other services.
  double mWeight = 1;
  /// Share of its requests that are non-idempotent, from 0 to 1.
  double mNonIdempotentShare = 0;
  /// Shard counts of all index versions that may ever be published.
  std::map<IndexVersion, std::uint32_t> mVersions;
};

/// A searcher as the plain fan-out addresses it.
struct SiteTarget
{
  ServiceName mService;
  SocketAddress mAddress;
  std::uint32_t mConnections = 1;
  std::uint32_t mPosition = 0;
  std::uint32_t mPositions = 1;
};

/// The shape of a site, as Meta/run.sh writes it for the stand-ins.
struct SiteFile
{
  std::vector<SiteService> mServices;
  std::vector<SiteTarget> mTargets;

  [[nodiscard]] const SiteService* Find(const ServiceName& aService) const;
};

/// InvalidInput at the step Settings if the file can't be read.
[[nodiscard]] Result<SiteFile>
ReadSiteFile(const std::string& aPath);

} // namespace verbenachute::load
