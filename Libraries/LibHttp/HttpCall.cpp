#include <LibHttp/HttpCall.h>

#include <LibCore/Verify.h>
#include <LibHttp/HttpServerConnection.h>

namespace verbenachute {

void
HttpCall::Respond(int aStatus,
                  const HttpFields& aFields,
                  std::string_view aBody,
                  AfterResponse aAfter)
{
  VERIFY(!mResponded);
  mResponded = true;
  if (mConnection != nullptr) {
    mConnection->Respond(aStatus, aFields, aBody, aAfter);
  }
}

} // namespace verbenachute
