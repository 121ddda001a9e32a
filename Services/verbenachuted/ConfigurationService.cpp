#include "ConfigurationService.h"

#include <LibControl/ControlMethods.h>

#include <utility>

namespace verbenachute {

namespace {

/// The store's kind of source, as the follower names it.
const ConfigurationSource kStoreSource =
  std::variant_alternative_t<0, ConfigurationSource>{};

const NodeName*
PeerOf(const ConfigurationSource& aSource)
{
  return std::get_if<NodeName>(&aSource);
}

} // namespace

ConfigurationService::ConfigurationService(const NodeName& aSelf,
                                           Dependencies aDependencies)
  : mDependencies(aDependencies)
  , mFollower(aSelf)
  , mTimer(mDependencies.mLoop,
           [this]() { CarryOut(mFollower.OnTick(mDependencies.mLoop.Now())); })
{
}

void
ConfigurationService::Start()
{
  CarryOut(mFollower.Start(mDependencies.mLoop.Now()));
}

void
ConfigurationService::OnPeers(const std::vector<NodeName>& aPeers)
{
  mFollower.OnPeers(aPeers, mDependencies.mLoop.Now());
  ArmTimer();
}

void
ConfigurationService::OnPeerRevision(const NodeName& aPeer,
                                     Revision aRevision,
                                     std::optional<Instant> aConfirmed)
{
  CarryOut(mFollower.OnPeerRevision(
    aPeer, aRevision, aConfirmed, mDependencies.mLoop.Now()));
}

void
ConfigurationService::OnWritten(const EncodedConfiguration& aWritten,
                                Instant aSent)
{
  CarryOut(mFollower.OnWritten(aWritten, aSent, mDependencies.mLoop.Now()));
}

Result<Json::Value>
ConfigurationService::AnswerRead(const Json::Value& aInput) const
{
  Json::Value output(Json::objectValue);
  if (!aInput.isMember("part")) {
    output["head"] = mFollower.HeadText();
    return output;
  }
  if (!aInput["part"].isString()) {
    return Error{
      Step::Parse, ErrorCode::InvalidInput, "", "the part is no string"
    };
  }
  const Result<PartName> name = PartName::Create(aInput["part"].asString());
  if (IsError(name)) {
    return ErrorOf(name);
  }
  const std::shared_ptr<const std::string> text =
    mFollower.FindPart(ValueOf(name));
  if (text == nullptr) {
    return Error{ Step::Configuration,
                  ErrorCode::NotFound,
                  "",
                  "the part is not in force here" };
  }
  output["part"] = *text;
  return output;
}

const ConfigurationFollower&
ConfigurationService::Follower() const
{
  return mFollower;
}

ConfigurationService::AppliedSignal&
ConfigurationService::Applied()
{
  return mApplied;
}

void
ConfigurationService::CarryOut(const ConfigurationFollower::Actions& aActions)
{
  for (const FollowerAction& action : aActions) {
    std::visit([this](const auto& aTyped) { Perform(aTyped); }, action);
  }
  ArmTimer();
}

void
ConfigurationService::Perform(const ReadHead& aAction)
{
  if (const NodeName* peer = PeerOf(aAction.mSource)) {
    ReadHeadFromPeer(aAction, *peer);
    return;
  }
  mDependencies.mPlatform.Read(
    std::string(kHeadKey),
    [this,
     call = aAction.mCall](const Result<std::optional<StoredValue>>& aValue) {
      if (!IsError(aValue) && !ValueOf(aValue).has_value()) {
        CarryOut(mFollower.OnNoHead(call, mDependencies.mLoop.Now()));
        return;
      }
      OnStoreHead(call, aValue);
    });
}

void
ConfigurationService::Perform(const WatchHead& aAction)
{
  mDependencies.mPlatform.Watch(
    std::string(kHeadKey),
    KeyRevision(aAction.mAfter),
    aAction.mWait,
    [this,
     call = aAction.mCall](const Result<std::optional<StoredValue>>& aValue) {
      if (!IsError(aValue) && !ValueOf(aValue).has_value()) {
        CarryOut(mFollower.OnUnchanged(call, mDependencies.mLoop.Now()));
        return;
      }
      OnStoreHead(call, aValue);
    });
}

void
ConfigurationService::Perform(const ReadPart& aAction)
{
  if (const NodeName* peer = PeerOf(aAction.mSource)) {
    ReadPartFromPeer(aAction, *peer);
    return;
  }
  mDependencies.mPlatform.Read(
    aAction.mPart.Key(),
    [this, action = aAction](const Result<std::optional<StoredValue>>& aValue) {
      const Instant now = mDependencies.mLoop.Now();
      if (IsError(aValue) || !ValueOf(aValue).has_value()) {
        CarryOut(mFollower.OnFailure(action.mCall, now));
        return;
      }
      CarryOut(mFollower.OnPart(
        action.mCall,
        action.mPart,
        std::make_shared<const std::string>(ValueOf(aValue)->mValue),
        now));
    });
}

void
ConfigurationService::Perform(const PutInForce& aAction)
{
  mDependencies.mLogger.Log(
    LogEvent(EventNumber::ConfigurationApplied)
      .At(Step::Configuration)
      .With("revision", aAction.mConfiguration->CurrentRevision().value()));
  mApplied.emit(aAction.mConfiguration);
}

void
ConfigurationService::Perform(const ReportRefused& aAction)
{
  mDependencies.mLogger.Log(LogEvent(EventNumber::ChangeRefused)
                              .WithError(aAction.mError)
                              .With("revision", aAction.mOffered.value()));
}

void
ConfigurationService::ReadHeadFromPeer(const ReadHead& aAction,
                                       const NodeName& aPeer)
{
  CallPeer(aPeer,
           Json::Value(Json::objectValue),
           [this, action = aAction](const Result<Json::Value>& aReply) {
             const Instant now = mDependencies.mLoop.Now();
             if (IsError(aReply) || !ValueOf(aReply)["head"].isString()) {
               CarryOut(mFollower.OnFailure(action.mCall, now));
               return;
             }
             const std::string text = ValueOf(aReply)["head"].asString();
             CarryOut(text.empty()
                        ? mFollower.OnNoHead(action.mCall, now)
                        : mFollower.OnHead(
                            action.mCall, action.mSource, text, 0, now));
           });
}

void
ConfigurationService::ReadPartFromPeer(const ReadPart& aAction,
                                       const NodeName& aPeer)
{
  Json::Value input;
  input["part"] = aAction.mPart.Text();
  CallPeer(
    aPeer, input, [this, action = aAction](const Result<Json::Value>& aReply) {
      const Instant now = mDependencies.mLoop.Now();
      if (IsError(aReply) || !ValueOf(aReply)["part"].isString()) {
        CarryOut(mFollower.OnFailure(action.mCall, now));
        return;
      }
      CarryOut(mFollower.OnPart(
        action.mCall,
        action.mPart,
        std::make_shared<const std::string>(ValueOf(aReply)["part"].asString()),
        now));
    });
}

void
ConfigurationService::OnStoreHead(
  CallId aCall,
  const Result<std::optional<StoredValue>>& aValue)
{
  const Instant now = mDependencies.mLoop.Now();
  if (IsError(aValue)) {
    mDependencies.mLogger.Log(
      LogEvent(EventNumber::StoreUnavailable).WithError(ErrorOf(aValue)));
    CarryOut(mFollower.OnFailure(aCall, now));
    return;
  }
  const StoredValue& value = *ValueOf(aValue);
  CarryOut(mFollower.OnHead(
    aCall, kStoreSource, value.mValue, value.mRevision.value(), now));
}

void
ConfigurationService::CallPeer(const NodeName& aPeer,
                               const Json::Value& aInput,
                               PeerPort::ControlDone aDone)
{
  const std::optional<SocketAddress> address =
    mDependencies.mDirectory.PeerAddress(aPeer);
  if (!address.has_value()) {
    mDependencies.mLoop.Defer([aPeer, done = std::move(aDone)]() {
      done(Error{ Step::Configuration,
                  ErrorCode::Unreachable,
                  aPeer.value(),
                  "the address of the peer is not known" });
    });
    return;
  }
  mDependencies.mPeers.Call(
    *address, kReadConfigurationMethod, aInput, std::move(aDone));
}

void
ConfigurationService::ArmTimer()
{
  mTimer.Start(mFollower.NextWake() - mDependencies.mLoop.Now());
}

} // namespace verbenachute
