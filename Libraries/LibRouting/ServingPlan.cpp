#include <LibRouting/ServingPlan.h>

#include <algorithm>
#include <cctype>
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

} // namespace verbenachute
