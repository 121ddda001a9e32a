#include <LibPlatform/PlatformClient.h>

#include <LibCore/SocketAddressText.h>
#include <LibJson/JsonText.h>
#include <LibPlatform/PlatformReplyParser.h>

#include <algorithm>
#include <json/json.h>
#include <utility>

namespace verbenachute {

namespace {

constexpr Duration kCallTimeout = seconds(2);
// A watch is answered by the service when its wait is over; the margin keeps
// a slow answer from being taken for a lost one.
constexpr Duration kWatchMargin = seconds(2);

Error
FailureOf(const HttpFailure& aFailure, const SocketAddress& aAddress)
{
  const ErrorCode code = aFailure.mExecution == Execution::NotRun
                           ? ErrorCode::Unreachable
                           : ErrorCode::OutcomeUnknown;
  return Error{ Step::Store,
                code,
                SocketAddressText(aAddress),
                "the key-value service did not answer" };
}

} // namespace

PlatformClient::PlatformClient(EventLoop& aLoop, const SocketAddress& aAddress)
  : mLoop(aLoop)
  , mAddress(aAddress)
{
}

void
PlatformClient::Read(const std::string& aKey, ReadDone aDone)
{
  HttpRequest request;
  request.mPath = "/v1/keys/" + aKey;
  Call(request,
       kCallTimeout,
       [done = std::move(aDone)](const Result<HttpReply>& aReply) {
         done(ParseStoredValue(aReply));
       });
}

void
PlatformClient::CompareAndSwap(const std::string& aKey,
                               const std::string& aValue,
                               KeyRevision aExpected,
                               SwapDone aDone)
{
  HttpRequest request;
  request.mMethod = HttpMethod::Put;
  request.mPath = "/v1/keys/" + aKey;
  Json::Value body;
  body["value"] = aValue;
  body["expected_revision"] = Json::UInt64(aExpected.value());
  request.mBody = CompactJson(body);
  Call(request,
       kCallTimeout,
       [done = std::move(aDone)](const Result<HttpReply>& aReply) {
         done(ParseSwapOutcome(aReply));
       });
}

void
PlatformClient::Remove(const std::string& aKey,
                       KeyRevision aExpected,
                       SwapDone aDone)
{
  HttpRequest request;
  request.mMethod = HttpMethod::Delete;
  request.mPath = "/v1/keys/" + aKey;
  request.mParameters["expected_revision"] = std::to_string(aExpected.value());
  Call(request,
       kCallTimeout,
       [done = std::move(aDone)](const Result<HttpReply>& aReply) {
         done(ParseSwapOutcome(aReply));
       });
}

void
PlatformClient::Watch(const std::string& aKey,
                      KeyRevision aAfter,
                      Duration aWait,
                      ReadDone aDone)
{
  HttpRequest request;
  request.mPath = "/v1/watch/" + aKey;
  request.mParameters["after"] = std::to_string(aAfter.value());
  request.mParameters["wait_ms"] =
    std::to_string(std::chrono::duration_cast<milliseconds>(aWait).count());
  Call(request,
       aWait + kWatchMargin,
       [done = std::move(aDone)](const Result<HttpReply>& aReply) {
         done(ParseStoredValue(aReply));
       });
}

void
PlatformClient::ListVms(ListDone aDone)
{
  HttpRequest request;
  request.mPath = "/v1/vms";
  Call(request,
       kCallTimeout,
       [done = std::move(aDone)](const Result<HttpReply>& aReply) {
         done(ParseVmList(aReply));
       });
}

void
PlatformClient::Call(const HttpRequest& aRequest,
                     Duration aTimeout,
                     ReplyDone aDone)
{
  IdleConnection().Send(
    aRequest,
    aTimeout,
    [address = mAddress, done = std::move(aDone)](const HttpOutcome& aOutcome) {
      if (const HttpReply* reply = std::get_if<HttpReply>(&aOutcome)) {
        done(*reply);
        return;
      }
      done(FailureOf(std::get<HttpFailure>(aOutcome), address));
    });
}

HttpClientConnection&
PlatformClient::IdleConnection()
{
  std::erase_if(mConnections,
                [](const std::unique_ptr<HttpClientConnection>& aConnection) {
                  return aConnection->IsIdle() && !aConnection->IsUsable();
                });
  for (const std::unique_ptr<HttpClientConnection>& connection : mConnections) {
    if (connection->IsIdle()) {
      return *connection;
    }
  }
  mConnections.push_back(
    std::make_unique<HttpClientConnection>(mLoop, mAddress));
  return *mConnections.back();
}

} // namespace verbenachute
