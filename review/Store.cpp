#include "../StandIns/Deployment/StoreServer.h"

#include <LibCore/SocketAddressText.h>
#include <LibHttp/HttpText.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>

// The platform's store at one address, and at a second one a port by which a
// case acts as operator and as searcher:
//   POST /put?Key=K    the body is the new value
//   POST /remove?Key=K
//   POST /forget       the history is discarded
//   POST /refuse?On=1  calls are answered 503 until On=0
// Each answer of that port is the store's acknowledgement.

namespace verbenachute::standins {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr std::size_t kMaximumBodyBytes = 2UL * 1024 * 1024;

int
Control(StoreModel* aModel, StoreServer* aServer, const HttpCall& aCall)
{
  const std::string path = aCall.mTarget.substr(0, aCall.mTarget.find('?'));
  const std::string key = QueryParameter(aCall.mTarget, "Key");
  const bool refuses = QueryParameter(aCall.mTarget, "On") == "1";
  const std::map<std::string, std::function<void()>> calls = {
    { "/put", [&]() { aModel->Put(key, aCall.mBody); } },
    { "/remove", [&]() { aModel->Remove(key); } },
    { "/forget", [&]() { aModel->ForgetHistory(); } },
    { "/refuse",
      [&]() {
        aServer->SetFault(refuses ? StoreServer::Fault::Refusing
                                  : StoreServer::Fault::None);
      } },
  };
  const auto call = calls.find(path);
  if (call == calls.end()) {
    return kNotFound;
  }
  call->second();
  return kOk;
}

int
Run(const SocketAddress& aStore, const SocketAddress& aControl)
{
  Result<std::unique_ptr<EventLoop>> loop = EventLoop::Create();
  if (IsError(loop)) {
    return EXIT_FAILURE;
  }
  StoreModel model;
  Result<std::unique_ptr<StoreServer>> server =
    StoreServer::Create(*ValueOf(loop), aStore, model);
  if (IsError(server)) {
    return EXIT_FAILURE;
  }
  ServerLimits limits;
  limits.mMessage.mBodyBytes = kMaximumBodyBytes;
  limits.mIdleTimeout = seconds(600);
  const Result<std::unique_ptr<HttpListener>> control = HttpListener::Create(
    *ValueOf(loop),
    aControl,
    limits,
    [&](const std::shared_ptr<HttpCall>& aCall) {
      aCall->Respond(
        Control(&model, ValueOf(server).get(), *aCall), HttpFields(), "");
    });
  if (IsError(control)) {
    return EXIT_FAILURE;
  }
  ValueOf(loop)->SignalArrived().connect(
    [&loop](int) { ValueOf(loop)->Stop(); });
  ValueOf(loop)->Run();
  return EXIT_SUCCESS;
}

} // namespace

} // namespace verbenachute::standins

int
main(int aArgumentCount, char** aArguments)
{
  using namespace verbenachute;
  if (aArgumentCount != 3) {
    std::fprintf(stderr, "usage: review-store STORE CONTROL (IP:PORT each)\n");
    return EXIT_FAILURE;
  }
  const Result<SocketAddress> store = ParseSocketAddress(aArguments[1]);
  const Result<SocketAddress> control = ParseSocketAddress(aArguments[2]);
  if (IsError(store) || IsError(control)) {
    return EXIT_FAILURE;
  }
  return standins::Run(ValueOf(store), ValueOf(control));
}
