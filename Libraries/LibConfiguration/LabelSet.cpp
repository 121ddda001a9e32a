#include <LibConfiguration/LabelSet.h>

namespace verbenachute {

bool
IsBuiltInKey(std::string_view aKey)
{
  return aKey == kTargetKey || aKey == kServiceKey || aKey == kDomainKey ||
         aKey == kRegionKey;
}

} // namespace verbenachute
