#include <LibRouting/ServingPlan.h>

#include <LibRouting/KeyHash.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <utility>

namespace verbenachute {

namespace {

std::string
NormalizedHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return host;
}

std::uint64_t
LeadingBytes(const KeyHash& aKey)
{
  std::uint64_t bytes = 0;
  std::memcpy(&bytes, aKey.value().data(), sizeof(bytes));
  return bytes;
}

} // namespace

ServingPlan::ServingPlan(Content aContent)
  : mContent(std::move(aContent))
{
  for (std::size_t i = 0; i < mContent.mRoutes.size(); ++i) {
    const Route& route = mContent.mRoutes[i];
    mRoutesByHost[NormalizedHost(route.mHost)].emplace(route.mPathPrefix, i);
  }
  for (std::size_t i = 0; i < mContent.mServices.size(); ++i) {
    mServices.emplace(mContent.mServices[i].mName, i);
  }
  for (std::size_t i = 0; i < mContent.mTenants.size(); ++i) {
    mTenants.emplace(mContent.mTenants[i].mName, i);
    for (const KeyHash& key : mContent.mTenants[i].mKeys) {
      mKeys.emplace(LeadingBytes(key), std::pair(key, i));
    }
  }
}

const Route*
ServingPlan::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mRoutesByHost.find(NormalizedHost(aHost));
  if (host == mRoutesByHost.end()) {
    return nullptr;
  }
  std::string_view path = aPath.substr(0, aPath.find('?'));
  // Prefixes end with a slash, so only parts of the path that do are looked up.
  while (!path.empty()) {
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    const auto found =
      host->second.find(std::string(path.substr(0, slash + 1)));
    if (found != host->second.end()) {
      return &mContent.mRoutes[found->second];
    }
    path = path.substr(0, slash);
  }
  return nullptr;
}

const ServiceSettings*
ServingPlan::FindService(const ServiceName& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? nullptr
                                  : &mContent.mServices[found->second];
}

const Tenant*
ServingPlan::FindTenant(const TenantName& aTenant) const
{
  const auto found = mTenants.find(aTenant);
  return found == mTenants.end() ? nullptr : &mContent.mTenants[found->second];
}

const Tenant*
ServingPlan::FindTenantOfKey(const KeyHash& aKey) const
{
  const auto candidates = mKeys.equal_range(LeadingBytes(aKey));
  for (auto entry = candidates.first; entry != candidates.second; ++entry) {
    if (EqualInConstantTime(entry->second.first, aKey)) {
      return &mContent.mTenants[entry->second.second];
    }
  }
  return nullptr;
}

} // namespace verbenachute
