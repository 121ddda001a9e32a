#include "RolloutService.h"

#include <LibRollout/RolloutCodec.h>
#include <platform/RolloutWire.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// Changes within this time after an outage may have been made during it.
constexpr Duration kRestoredTime = seconds(1);
// Names of the phases in the log, in the order of RolloutPhase.
constexpr const char* kPhaseNames[] = { "unknown",
                                        "canary",
                                        "switching",
                                        "done",
                                        "rolled back" };

} // namespace

RolloutService::RolloutService(const NodeIdentity& aSelf,
                               const RolloutRule& aRule,
                               Hooks aHooks)
  : mSelf(aSelf)
  , mRule(aRule)
  , mHooks(std::move(aHooks))
  , mTimer(mHooks.mLoop, [this]() { OnTick(); })
{
  mHooks.mEngine.SetVersionPolicy(&mBoard);
  mHooks.mPort.SetReceiver(
    PeerDatagramKind::RolloutCounts,
    [this](const SocketAddress&, std::string_view aPayload) {
      OnDatagram(aPayload);
    });
}

UnixMilliseconds
RolloutService::WallTime() const
{
  return mHooks.mLoop.SystemTime().WallTime();
}

void
RolloutService::SetRule(const RolloutRule& aRule)
{
  mRule = aRule;
  for (const auto& [service, machine] : mBoard.All()) {
    machine->SetRule(aRule);
  }
}

void
RolloutService::OnStoreChanges(const StoreMirror::Changes& aChanges,
                               std::optional<Instant> aRestoredAt)
{
  for (const StoreChange& change : aChanges) {
    const std::optional<ServiceName> ordered =
      platform::RolloutOrderService(change.mKey);
    const std::optional<ServiceName> recorded =
      platform::RolloutRecordService(change.mKey);
    if (ordered.has_value()) {
      OnOrder(*ordered, change, aRestoredAt);
    } else if (recorded.has_value()) {
      OnRecord(*recorded, change);
    }
  }
  if (mBoard.HasOpenOrders() && !mTimer.IsRunning()) {
    OnNodesChanged();
    mTimer.Start(Duration(0));
  }
}

std::vector<std::string>
RolloutService::ListedVersions(const RolloutOrder& aOrder) const
{
  std::vector<std::string> versions;
  for (const TargetRecord* target :
       mHooks.mEngine.Targets().Of(aOrder.mService)) {
    const std::string& version = target->Listed().mSoftwareVersion;
    if (version != aOrder.mTargetVersion &&
        std::find(versions.begin(), versions.end(), version) ==
          versions.end()) {
      versions.push_back(version);
    }
  }
  return versions;
}

void
RolloutService::OnOrder(const ServiceName& aService,
                        const StoreChange& aChange,
                        std::optional<Instant> aRestoredAt)
{
  if (!aChange.mValue.has_value()) {
    mBoard.Set(aService, nullptr);
    mHooks.mLogger.Log(LogEvent(EventNumber::RolloutOrdered)
                         .With("service", aService.value())
                         .With("version", "none"));
    return;
  }
  const Result<RolloutOrder> order =
    platform::DecodeRolloutOrder(aService, *aChange.mValue, aChange.mRevision);
  if (IsError(order)) {
    mHooks.mLogger.Log(
      LogEvent(EventNumber::EntryUnreadable).WithError(ErrorOf(order)));
    return;
  }
  const RolloutMachine* previous = mBoard.Find(aService);
  if (previous != nullptr && previous->Order() == ValueOf(order)) {
    return;
  }
  const Instant now = mHooks.mLoop.Now();
  RolloutMachine::Setup setup;
  setup.mSelf = mSelf;
  setup.mOrder = ValueOf(order);
  setup.mRule = mRule;
  setup.mOldVersions = previous == nullptr ? ListedVersions(setup.mOrder)
                                           : previous->VersionsInForce();
  // Without a plan, the node is reading the store for the first time; then and
  // after an outage the order may be of any age.
  const bool isRestored =
    aRestoredAt.has_value() && now - *aRestoredAt < kRestoredTime;
  if (mHooks.mEngine.Plan() != nullptr && !isRestored) {
    setup.mStart = now;
  }
  std::unique_ptr<RolloutMachine> machine =
    std::make_unique<RolloutMachine>(std::move(setup), now);
  const auto record = mRecords.find(aService);
  if (record != mRecords.end()) {
    machine->OnRecord(
      record->second.mRecord, record->second.mRevision, WallTime(), now);
  }
  mBoard.Set(aService, std::move(machine));
  OnNodesChanged();
  mHooks.mLogger.Log(LogEvent(EventNumber::RolloutOrdered)
                       .With("service", aService.value())
                       .With("version", ValueOf(order).mTargetVersion));
}

void
RolloutService::OnRecord(const ServiceName& aService,
                         const StoreChange& aChange)
{
  RolloutMachine* machine = mBoard.Find(aService);
  StoredRecord stored;
  if (aChange.mValue.has_value()) {
    stored.mRevision = aChange.mRevision;
    const Result<RolloutRecord> record =
      platform::DecodeRolloutRecord(aService, *aChange.mValue);
    if (IsError(record)) {
      mHooks.mLogger.Log(
        LogEvent(EventNumber::EntryUnreadable).WithError(ErrorOf(record)));
    } else {
      stored.mRecord = ValueOf(record);
    }
    mRecords[aService] = stored;
  } else {
    mRecords.erase(aService);
  }
  if (machine != nullptr) {
    machine->OnRecord(
      stored.mRecord, stored.mRevision, WallTime(), mHooks.mLoop.Now());
    Run(machine);
  }
}

void
RolloutService::OnNodesChanged()
{
  if (mBoard.All().empty()) {
    return;
  }
  std::vector<NodeName> names;
  mAddresses.clear();
  for (const NodeStatus& node : mHooks.mServingNodes()) {
    names.push_back(node.mIdentity.mName);
    mAddresses.emplace(node.mIdentity.mName, node.mPeerAddress);
  }
  for (const auto& [service, machine] : mBoard.All()) {
    machine->SetServingNodes(names);
  }
}

void
RolloutService::OnDatagram(std::string_view aPayload)
{
  const Result<RolloutReport> report = DecodeRolloutReport(aPayload);
  if (IsError(report)) {
    mHooks.mLogger.Log(
      LogEvent(EventNumber::PeerMessageRefused).WithError(ErrorOf(report)));
    return;
  }
  RolloutMachine* machine = mBoard.Find(ValueOf(report).mService);
  if (machine == nullptr) {
    return;
  }
  const bool wasStopped = machine->IsStopped();
  const RolloutPhase phase = machine->Phase();
  machine->OnReport(ValueOf(report), mHooks.mLoop.Now());
  if (machine->IsStopped() != wasStopped || machine->Phase() != phase) {
    Run(machine);
  }
}

void
RolloutService::OnTick()
{
  for (const auto& [service, machine] : mBoard.All()) {
    Run(machine.get());
  }
  if (mBoard.HasOpenOrders()) {
    mTimer.Start(RolloutMachine::kTick);
  }
}

void
RolloutService::Run(RolloutMachine* aMachine)
{
  bool hasNew = false;
  std::uint64_t runningOld = 0;
  for (const TargetRecord* target :
       mHooks.mEngine.Targets().Of(aMachine->Order().mService)) {
    const bool isNew =
      target->Listed().mSoftwareVersion == aMachine->Order().mTargetVersion;
    hasNew = hasNew || isNew;
    runningOld += isNew ? 0 : target->InFlight();
  }
  aMachine->SetTargets(hasNew, runningOld);
  const RolloutOutput output = aMachine->OnTime(WallTime(), mHooks.mLoop.Now());
  for (const RolloutNotice& notice : output.mNotices) {
    Log(*aMachine, notice);
  }
  for (const RolloutDispatch& dispatch : output.mDispatches) {
    Send(dispatch);
  }
  if (output.mWrite.has_value()) {
    Write(*aMachine, *output.mWrite);
  }
}

void
RolloutService::Send(const RolloutDispatch& aDispatch)
{
  std::vector<SocketAddress> receivers;
  for (const NodeName& node : aDispatch.mReceivers) {
    const auto found = mAddresses.find(node);
    if (found != mAddresses.end()) {
      receivers.push_back(found->second);
    }
  }
  mHooks.mMetrics.Add(Counter::RolloutReportsSent, receivers.size());
  mHooks.mPort.Send(PeerDatagramKind::RolloutCounts,
                    EncodeRolloutReport(aDispatch.mReport),
                    receivers);
}

void
RolloutService::Write(const RolloutMachine& aMachine,
                      const RolloutWrite& aWrite)
{
  const RolloutOrder& order = aMachine.Order();
  mHooks.mKeys.CompareAndSwapAll(
    { { platform::RolloutRecordKey(order.mService),
        platform::RolloutRecordText(aWrite.mRecord) },
      { platform::RolloutStatusKey(order.mService),
        platform::RolloutStatusText(aWrite.mRecord, order.mTargetVersion) } },
    KeyRevision(aWrite.mExpected.value()),
    [this, order, aWrite](const Result<SwapOutcome>& aResult) {
      OnWriteDone(order, aWrite, aResult);
    });
}

void
RolloutService::OnWriteDone(const RolloutOrder& aOrder,
                            const RolloutWrite& aWrite,
                            const Result<SwapOutcome>& aResult)
{
  RolloutMachine* machine = mBoard.Find(aOrder.mService);
  const bool isCurrent = machine != nullptr && machine->Order() == aOrder;
  if (!IsError(aResult) && ValueOf(aResult).mResult == SwapResult::Swapped) {
    if (isCurrent) {
      machine->OnWritten(aWrite,
                         StoreRevision(ValueOf(aResult).mRevision.value()));
      Run(machine);
    }
    return;
  }
  LogEvent event(EventNumber::RolloutWriteFailed);
  if (IsError(aResult)) {
    event.WithError(ErrorOf(aResult));
  }
  mHooks.mLogger.Log(event.With("service", aOrder.mService.value())
                       .With("expected", aWrite.mExpected.value()));
  if (isCurrent) {
    machine->OnWriteFailed(mHooks.mLoop.Now());
  }
}

void
RolloutService::Log(const RolloutMachine& aMachine,
                    const RolloutNotice& aNotice)
{
  const bool isStop = aNotice.mKind == RolloutNotice::Kind::Stopped;
  if (isStop) {
    mHooks.mMetrics.Add(Counter::RolloutStops);
  }
  mHooks.mLogger.Log(
    LogEvent(isStop ? EventNumber::RolloutStopped
                    : EventNumber::RolloutPhaseChanged)
      .With("service", aMachine.Order().mService.value())
      .With("version", aMachine.Order().mTargetVersion)
      .With("phase", kPhaseNames[static_cast<std::size_t>(aMachine.Phase())])
      .With("reason", aNotice.mReason));
}

} // namespace verbenachute
