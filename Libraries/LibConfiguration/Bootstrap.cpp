#include <LibConfiguration/Bootstrap.h>

#include <LibConfiguration/ConfigurationCodec.h>
#include <LibConfiguration/ContentDigest.h>

namespace verbenachute {

Result<std::shared_ptr<const Configuration>>
BootstrapConfiguration(const Bootstrap& aBootstrap)
{
  ConfigurationContent content = aBootstrap.mConfiguration->Content();
  content.mRevision = Revision(1);
  content.mHistory = { { content.mRevision,
                         OperationId(Bootstrap::kOperation),
                         aBootstrap.mOperator,
                         aBootstrap.mWallTime,
                         ContentDigest(ConfigurationCodec::DocumentText(
                           *aBootstrap.mConfiguration)),
                         "bootstrap" } };
  return Configuration::Create(std::move(content));
}

} // namespace verbenachute
