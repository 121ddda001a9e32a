#include <LibHttp/HttpCall.h>

#include <LibCore/Verify.h>
#include <LibHttp/HttpServerConnection.h>

#include <utility>

namespace verbenachute {

void
HttpCall::Respond(int aStatus,
                  const HttpFields& aFields,
                  std::string aBody,
                  AfterResponse aAfter)
{
  VERIFY(!mResponded);
  mResponded = true;
  if (mConnection != nullptr) {
    mConnection->Respond(aStatus, aFields, std::move(aBody), aAfter);
  }
}

} // namespace verbenachute
