#include <LibForward/ShardCover.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <array>

namespace verbenachute {

std::vector<DomainShards>
CoverShards(std::vector<DomainSet> aHolders, std::size_t aLeast)
{
  VERIFY(aLeast > 0);
  std::vector<DomainShards> cover;
  while (true) {
    std::array<std::size_t, kMostDomains> held{};
    for (const DomainSet& holders : aHolders) {
      for (std::size_t domain = 0; domain < kMostDomains; ++domain) {
        held[domain] += holders.test(domain) ? 1 : 0;
      }
    }
    const auto most = std::max_element(held.begin(), held.end());
    if (*most < aLeast) {
      return cover;
    }
    DomainShards next;
    next.mDomain = static_cast<std::size_t>(most - held.begin());
    for (std::size_t place = 0; place < aHolders.size(); ++place) {
      if (aHolders[place].test(next.mDomain)) {
        next.mPlaces.push_back(place);
        aHolders[place].reset();
      }
    }
    cover.push_back(std::move(next));
  }
}

} // namespace verbenachute
