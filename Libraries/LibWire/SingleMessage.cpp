#include <LibWire/SingleMessage.h>

namespace verbenachute {

std::string
EncodeSingleMessage(const std::function<void(FieldWriter*)>& aWrite)
{
  FieldWriter writer(1);
  writer.BeginMessage();
  aWrite(&writer);
  writer.EndMessage();
  return writer.ReleaseBytes();
}

} // namespace verbenachute
