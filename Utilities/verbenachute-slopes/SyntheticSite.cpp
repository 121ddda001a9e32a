#include "SyntheticSite.h"

#include <LibCore/Verify.h>

namespace verbenachute {

namespace {

constexpr std::uint32_t kSlots = 2;
constexpr std::uint32_t kConnections = 25;
constexpr std::uint16_t kFirstPort = 1024;
constexpr std::size_t kPorts = 60'000;

} // namespace

SyntheticSite::SyntheticSite(std::size_t aTargets)
{
  const std::vector<FailureDomain> domains = Domains();
  std::vector<TargetEntry> entries;
  entries.reserve(aTargets);
  for (std::size_t number = 0; number < aTargets; ++number) {
    TargetEntry entry;
    entry.mName = TargetName("target-" + std::to_string(number));
    entry.mService = Service();
    entry.mAddress =
      SocketAddress{ "10.0." + std::to_string(number / kPorts) + ".1",
                     static_cast<std::uint16_t>(kFirstPort + number % kPorts) };
    entry.mDomain = domains[number % domains.size()];
    entry.mSlots = kSlots;
    entry.mConnections = kConnections;
    entries.push_back(std::move(entry));
  }
  ConfigurationContent content;
  content.mRevision = Revision(1);
  for (const FailureDomain& domain : domains) {
    content.mDomains[domain] = DomainEntry{ domain, Region("region") };
  }
  content.mTargets = std::make_shared<TargetTable>(std::move(entries));
  Result<std::shared_ptr<const Configuration>> view =
    Configuration::Create(std::move(content));
  VERIFY(!IsError(view));
  mView = ValueOf(view);
}

ServiceName
SyntheticSite::Service()
{
  return ServiceName("service");
}

std::vector<FailureDomain>
SyntheticSite::Domains()
{
  return { FailureDomain("domain-a"), FailureDomain("domain-b") };
}

const std::shared_ptr<const Configuration>&
SyntheticSite::View() const
{
  return mView;
}

} // namespace verbenachute
