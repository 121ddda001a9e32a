#include <LibControl/ControlServer.h>

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <utility>

namespace verbenachute {

class ControlServer::Connector final : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void* aReply) override
  {
    *static_cast<std::string*>(aReply) = aResponse;
    return true;
  }
};

class ControlServer::Handler final
  : public jsonrpc::AbstractServer<ControlServer::Handler>
{
public:
  Handler(Connector& aConnector, ControlMethods aMethods)
    : jsonrpc::AbstractServer<Handler>(aConnector)
    , mMethods(std::move(aMethods))
  {
    Bind(kHeartbeatMethod, &Handler::Heartbeat);
    Bind(kLeaseRequestMethod, &Handler::LeaseRequest);
    Bind(kLeaseReleaseMethod, &Handler::LeaseRelease);
    Bind(kReadConfigurationMethod, &Handler::ReadConfiguration);
    Bind(kTargetStatesMethod, &Handler::TargetStates);
    Bind(kPoisonReportMethod, &Handler::PoisonReport);
  }

  void SetPeer(const NodeIdentity& aPeer) { mPeer = aPeer; }

private:
  void Bind(const char* aName, methodPointer_t aMethod)
  {
    bindAndAddMethod(jsonrpc::Procedure(aName,
                                        jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT,
                                        static_cast<const char*>(nullptr)),
                     aMethod);
  }

  void Heartbeat(const Json::Value& aInput, Json::Value& aOutput)
  {
    Call(mMethods.mHeartbeat, aInput, aOutput);
  }
  void LeaseRequest(const Json::Value& aInput, Json::Value& aOutput)
  {
    Call(mMethods.mLeaseRequest, aInput, aOutput);
  }
  void LeaseRelease(const Json::Value& aInput, Json::Value& aOutput)
  {
    Call(mMethods.mLeaseRelease, aInput, aOutput);
  }
  void ReadConfiguration(const Json::Value& aInput, Json::Value& aOutput)
  {
    Call(mMethods.mReadConfiguration, aInput, aOutput);
  }
  void TargetStates(const Json::Value& aInput, Json::Value& aOutput)
  {
    Call(mMethods.mTargetStates, aInput, aOutput);
  }
  void PoisonReport(const Json::Value& aInput, Json::Value& aOutput)
  {
    Call(mMethods.mPoisonReport, aInput, aOutput);
  }

  void Call(const ControlMethod& aMethod,
            const Json::Value& aInput,
            Json::Value& aOutput)
  {
    if (!aMethod) {
      throw jsonrpc::JsonRpcException(
        jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND);
    }
    Result<Json::Value> result = aMethod(mPeer, aInput);
    if (IsError(result)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      ErrorOf(result).mMessage);
    }
    aOutput = ReleaseValue(std::move(result));
  }

  ControlMethods mMethods;
  NodeIdentity mPeer;
};

ControlServer::ControlServer(ControlMethods aMethods)
  : mConnector(std::make_unique<Connector>())
  , mHandler(std::make_unique<Handler>(*mConnector, std::move(aMethods)))
{
}

ControlServer::~ControlServer() = default;

std::string
ControlServer::Answer(const NodeIdentity& aPeer, const std::string& aRequest)
{
  std::string reply;
  mHandler->SetPeer(aPeer);
  mConnector->OnRequest(aRequest, &reply);
  return reply;
}

} // namespace verbenachute
