#include "Soak.h"

#include <LibCore/SocketAddressText.h>
#include <LibJson/JsonText.h>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <utility>

namespace verbenachute::standins {

namespace {

constexpr const char* kHost = "dock.example";
constexpr const char* kSingleService = "registry";
constexpr std::size_t kShardsOfSet[] = { 6, 4 };
constexpr std::size_t kReplicas = 2;
constexpr std::size_t kSingles = 4;
constexpr std::size_t kConnections = 24;
/// Searchers of the single service are cold for so long after a start and take
/// so many requests a second meanwhile; see Promises::Bounds::mColdInSecond.
constexpr Duration kCold = seconds(2);
constexpr int kColdPerSecond = 4;
/// Time between the starts of searchers that come back together.
constexpr Duration kColdGap = milliseconds(50);
/// Routes without requests that make a configuration large, about 900 bytes
/// each.
constexpr std::size_t kIdleRoutes = 700;
constexpr std::size_t kIdleShards = 60;
/// From SIGTERM to the end of a process at the latest, as the nodes are set.
constexpr Duration kGrace = seconds(6);
constexpr Duration kWarmUp = seconds(2);
/// A restored store is up to kCopies * kCopyInterval old.
constexpr std::size_t kCopies = 4;
constexpr Duration kCopyInterval = seconds(1);
/// From the return of a restored store until all has been written again.
constexpr Duration kRewriteTime = seconds(2);
/// Time at the end in which the callers must be served again.
constexpr Duration kRecovered = seconds(3);
/// Share of requests that must be served then.
constexpr double kServedAgain = 0.9;
constexpr Duration kLastAnswers = seconds(2);
/// What a searcher that fails after the work answers with.
constexpr int kFailureStatuses[] = { 500, 503, 429 };

std::string
ShardName(std::size_t aSet, std::size_t aShard)
{
  return std::string(aSet == 0 ? "index-a-" : "index-b-") +
         std::to_string(aShard);
}

Json::Value
RouteJson(const char* aName, const char* aKind)
{
  Json::Value route(Json::objectValue);
  route["Name"] = aName;
  route["Host"] = kHost;
  route["PathPrefix"] = std::string("/") + aName + "/";
  route["RouteKind"] = aKind;
  route["MaxAttempts"] = 3;
  route["DeadlineMs"] = 600;
  route["TargetLatencyMs"] = 200;
  route["Priority"] = 1;
  return route;
}

Json::Value
BackendJson(const std::string& aName, int aColdPerSecond = 0)
{
  Json::Value backend(Json::objectValue);
  backend["Name"] = aName;
  backend["MaxConns"] = Json::UInt64(kConnections);
  backend["HealthPath"] = "/healthz";
  backend["WarmupS"] = std::chrono::duration<double>(kCold).count();
  backend["WarmupPerS"] = aColdPerSecond;
  return backend;
}

const Json::Value&
IdleRoutes()
{
  static const Json::Value sRoutes = []() {
    Json::Value routes(Json::arrayValue);
    for (std::size_t i = 0; i < kIdleRoutes; ++i) {
      Json::Value route =
        RouteJson(("idle-" + std::to_string(i)).c_str(), "safe");
      route["TopK"] = 1;
      route["MinCoverage"] = 1;
      for (std::size_t shard = 0; shard < kIdleShards; ++shard) {
        route["Gather"].append("idle-" + std::to_string(shard));
      }
      routes.append(route);
    }
    return routes;
  }();
  return sRoutes;
}

Callers::Settings
CallerSettings(const Soak::Settings& aSettings)
{
  Callers::Settings settings;
  settings.mNodes = aSettings.mNodes;
  settings.mHost = kHost;
  settings.mRegion = aSettings.mRegion;
  settings.mDomains = aSettings.mDomains;
  settings.mRate = aSettings.mRate;
  settings.mSeed = aSettings.mSeed;
  settings.mCrashShare = aSettings.mCrashShare;
  return settings;
}

Promises::Bounds
BoundsOf(const Soak::Settings& aSettings)
{
  Promises::Bounds bounds;
  if (aSettings.mTiming == TimingChecks::Off) {
    // Longer than any run.
    constexpr Duration kNever = std::chrono::hours(24);
    bounds.mInForce = kNever;
    bounds.mDomainOut = kNever;
    bounds.mDraining = kNever;
  }
  return bounds;
}

void
Print(const std::string& aCommand)
{
  std::printf("%s\n", aCommand.c_str());
  std::fflush(stdout);
}

} // namespace

Result<std::unique_ptr<Soak>>
Soak::Create(EventLoop& aLoop, const Settings& aSettings)
{
  std::unique_ptr<Soak> soak(new Soak(aLoop, aSettings));
  Result<std::unique_ptr<StoreServer>> store =
    StoreServer::Create(aLoop, aSettings.mStore, soak->mModel);
  if (IsError(store)) {
    return ErrorOf(store);
  }
  soak->mStore = ReleaseValue(std::move(store));
  return soak;
}

Soak::Soak(EventLoop& aLoop, const Settings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mPromises(BoundsOf(aSettings))
  , mCallers(aLoop, mPromises, CallerSettings(aSettings))
  , mBusy(aSettings.mNodes.size(), false)
{
}

void
Soak::After(Duration aDelay, std::function<void()> aTask)
{
  mTimers.push_back(std::make_unique<Timer>(mLoop, std::move(aTask)));
  mTimers.back()->Start(aDelay);
}

void
Soak::AddSearchers()
{
  SocketAddress address = mSettings.mFirstTarget;
  const auto add = [&](const std::string& aService, std::size_t aReplica) {
    SearcherShape shape;
    shape.mFacts.mService = ServiceName(aService);
    shape.mFacts.mDomain = FailureDomain(
      mSettings
        .mDomains[(mSearchers.size() + aReplica) % mSettings.mDomains.size()]);
    shape.mFacts.mName =
      TargetName("i-" + aService + "-" + std::to_string(aReplica));
    shape.mAddress = address;
    shape.mConnections = kConnections;
    shape.mResponseBytes =
      aService == kSingleService ? mSettings.mSingleBytes : 0;
    ++address.mPort;
    mSearchers.push_back(std::make_unique<EntrySearcher>(
      mLoop, mModel, mPromises, shape, mSettings.mSeed + mSearchers.size()));
    mSearchers.back()->Start();
  };
  for (std::size_t set = 0; set < std::size(kShardsOfSet); ++set) {
    for (std::size_t shard = 0; shard < kShardsOfSet[set]; ++shard) {
      for (std::size_t replica = 0; replica < kReplicas; ++replica) {
        add(ShardName(set, shard), replica);
      }
    }
  }
  for (std::size_t replica = 0; replica < kSingles; ++replica) {
    add(kSingleService, replica);
  }
}

void
Soak::AcceptPlan(PlanSize aSize)
{
  ++mVersion;
  const std::size_t set = mVersion % std::size(kShardsOfSet);
  Json::Value plan(Json::objectValue);
  plan["Version"] = Json::UInt64(mVersion);
  plan["Limits"] = Json::Value(Json::objectValue);
  plan["Routes"] = Json::Value(Json::arrayValue);
  plan["Backends"] = Json::Value(Json::arrayValue);
  Json::Value all = RouteJson("all", "safe");
  all["TopK"] = Json::UInt64(Promises::Bounds().mMaximumRecords);
  all["MinCoverage"] = 0.5;
  std::set<ServiceName> shards;
  for (std::size_t shard = 0; shard < kShardsOfSet[set]; ++shard) {
    const std::string name = ShardName(set, shard);
    all["Gather"].append(name);
    plan["Backends"].append(BackendJson(name));
    shards.insert(ServiceName(name));
  }
  plan["Routes"].append(all);
  for (const auto& [name, kind] :
       { std::pair("one", "safe"), std::pair("once", "unsafe") }) {
    Json::Value route = RouteJson(name, kind);
    route["Backend"] = kSingleService;
    plan["Routes"].append(route);
  }
  plan["Backends"].append(BackendJson(kSingleService, kColdPerSecond));
  if (aSize == PlanSize::Large) {
    for (const Json::Value& route : IdleRoutes()) {
      plan["Routes"].append(route);
    }
  }
  mPlan = CompactJson(plan);
  mModel.Put("op/config", mPlan);
  mPromises.OnPlan(shards, mLoop.Now());
}

void
Soak::Start()
{
  AddSearchers();
  AcceptPlan(PlanSize::Small);
  CopyStore();
  for (const NodeFacts& node : mSettings.mNodes) {
    Print("start " + node.mName.value());
  }
  if (mSettings.mActivity == Activity::None) {
    return;
  }
  After(kWarmUp, [this]() {
    // Nodes that have just started are settling.
    for (const NodeFacts& node : mSettings.mNodes) {
      mPromises.OnDisruption(node.mName);
      mPromises.OnRelief(node.mName, mLoop.Now());
    }
    mCallers.Start();
  });
  for (const PlannedFault& fault :
       DrawFaults(mSettings.mSeed, mSettings.mLength)) {
    After(kWarmUp + fault.mAt, [this, fault]() { Begin(fault); });
  }
  const Duration end = kWarmUp + mSettings.mLength;
  After(end - kRecovered, [this]() {
    mServedBeforeCalm = mPromises.Served();
    mSentBeforeCalm = mPromises.Requests();
  });
  After(end, [this]() { mCallers.Stop(); });
  After(end + kLastAnswers, [this]() { End(); });
}

void
Soak::Begin(const PlannedFault& aFault)
{
  std::fprintf(
    stderr,
    "fault %s %zu for %lld ms\n",
    FaultName(aFault.mKind),
    aFault.mWhich,
    static_cast<long long>(
      std::chrono::duration_cast<milliseconds>(aFault.mLength).count()));
  if (aFault.mKind <= FaultKind::AllNodesKilled) {
    BeginNodeFault(aFault);
  } else if (aFault.mKind <= FaultKind::StoreForgetting) {
    BeginStoreFault(aFault);
  } else if (aFault.mKind <= FaultKind::ShardDown) {
    BeginSearcherFault(aFault);
  } else {
    BeginOperatorAct(aFault);
  }
}

void
Soak::EndNode(std::size_t aNode, const char* aSignal, Duration aAbsence)
{
  const NodeName name = mSettings.mNodes[aNode].mName;
  mBusy[aNode] = true;
  mPromises.OnDisruption(name);
  Print("signal " + name.value() + " " + aSignal);
  After(aAbsence, [this, aNode, name]() {
    Print("start " + name.value());
    mPromises.OnRelief(name, mLoop.Now());
    mBusy[aNode] = false;
  });
}

void
Soak::BeginNodeFault(const PlannedFault& aFault)
{
  const std::size_t node = aFault.mWhich % mSettings.mNodes.size();
  const NodeName name = mSettings.mNodes[node].mName;
  if (aFault.mKind == FaultKind::NodeReloaded) {
    Print("reload " + name.value());
    return;
  }
  if (aFault.mKind == FaultKind::AllNodesKilled) {
    for (std::size_t i = 0; i < mSettings.mNodes.size(); ++i) {
      if (!mBusy[i]) {
        EndNode(i, "KILL", aFault.mLength);
      }
    }
    return;
  }
  if (mBusy[node]) {
    return;
  }
  if (aFault.mKind == FaultKind::NodeKilled) {
    EndNode(node, "KILL", aFault.mLength);
    return;
  }
  if (aFault.mKind == FaultKind::NodeStopped) {
    EndNode(node, "TERM", kGrace + aFault.mLength);
    return;
  }
  mBusy[node] = true;
  mPromises.OnDisruption(name);
  Print("signal " + name.value() + " STOP");
  After(aFault.mLength, [this, node, name]() {
    Print("signal " + name.value() + " CONT");
    mPromises.OnRelief(name, mLoop.Now());
    mBusy[node] = false;
  });
}

void
Soak::BeginStoreFault(const PlannedFault& aFault)
{
  if (aFault.mKind == FaultKind::StoreForgetting) {
    mModel.ForgetHistory();
    mStore->CutWatches();
    return;
  }
  // A later fault of the store takes the place of one that still lasts.
  ++mStoreFaults;
  mPromises.OnDisruption(NodeName());
  switch (aFault.mKind) {
    case FaultKind::StoreRefusing:
      mStore->SetFault(StoreServer::Fault::Refusing);
      break;
    case FaultKind::StoreRestored:
    case FaultKind::StoreSilent:
      mStore->SetFault(StoreServer::Fault::Silent);
      break;
    case FaultKind::StoreLosingAnswers:
      mStore->SetFault(StoreServer::Fault::LosingAnswers);
      break;
    default:
      mStore->SetDelay(milliseconds(300));
      break;
  }
  After(aFault.mLength, [this, kind = aFault.mKind]() {
    if (kind == FaultKind::StoreRestored) {
      RestoreStore();
    }
    mPromises.OnRelief(NodeName(), mLoop.Now());
    if (--mStoreFaults == 0) {
      mStore->SetFault(StoreServer::Fault::None);
      mStore->SetDelay(Duration(0));
    }
  });
}

void
Soak::CopyStore()
{
  mCopies.push_back(mModel.MakeCopy());
  if (mCopies.size() > kCopies) {
    mCopies.pop_front();
  }
  After(kCopyInterval, [this]() { CopyStore(); });
}

void
Soak::RestoreStore()
{
  mModel.Restore(mCopies.front());
  // Copies of the lost seconds are not part of the new era.
  mCopies.erase(mCopies.begin() + 1, mCopies.end());
  for (std::size_t i = 0; i < mSearchers.size(); ++i) {
    After(kRewriteTime * static_cast<int>(i) /
            static_cast<int>(mSearchers.size()),
          [one = mSearchers[i].get()]() { one->WriteEntryAgain(); });
  }
  // Until then the operator's acts may be missing, which is nobody's fault.
  mPromises.OnDisruption(NodeName());
  After(kRewriteTime, [this]() {
    RewriteOperatorsKeys();
    mPromises.OnRelief(NodeName(), mLoop.Now());
  });
}

void
Soak::RewriteOperatorsKeys()
{
  mModel.Put("op/config", mPlan);
  for (const std::string& domain : mSettings.mDomains) {
    const std::string key = "op/evacuate/" + domain;
    if (mEvacuations.contains(key)) {
      mModel.Put(key, "{}");
    } else if (mModel.Find(key) != nullptr) {
      mModel.Remove(key);
    }
  }
}

void
Soak::Drain(EntrySearcher* aSearcher, Duration aLength)
{
  aSearcher->Drain();
  After(aLength, [this, aSearcher]() {
    if (aSearcher->IsUp()) {
      aSearcher->Crash();
    }
    After(milliseconds(200), [aSearcher]() {
      if (!aSearcher->IsUp()) {
        aSearcher->Restart();
      }
    });
  });
}

void
Soak::ReturnCold(Duration aAbsence)
{
  Duration after = aAbsence;
  for (const std::unique_ptr<EntrySearcher>& searcher : mSearchers) {
    if (!searcher->IsUp() ||
        searcher->Shape().mFacts.mService.value() != kSingleService) {
      continue;
    }
    searcher->CrashSilently();
    After(after, [one = searcher.get()]() {
      if (!one->IsUp()) {
        one->RestartCold(kCold);
      }
    });
    after += kColdGap;
  }
}

void
Soak::BeginSearcherFault(const PlannedFault& aFault)
{
  EntrySearcher* searcher = mSearchers[aFault.mWhich % mSearchers.size()].get();
  if (!searcher->IsUp()) {
    return;
  }
  std::function<void()> end;
  switch (aFault.mKind) {
    case FaultKind::SearcherHung:
      searcher->SetHung(true);
      end = [searcher]() { searcher->SetHung(false); };
      break;
    case FaultKind::SearcherSlow:
      searcher->SetSlowness(8);
      end = [searcher]() { searcher->SetSlowness(1); };
      break;
    case FaultKind::SearcherFailing:
      searcher->SetFailing(
        0.5, kFailureStatuses[aFault.mWhich % std::size(kFailureStatuses)]);
      end = [searcher]() { searcher->SetFailing(0, kFailureStatuses[0]); };
      break;
    case FaultKind::SearcherEndless:
      searcher->SetEndless(true);
      end = [searcher]() { searcher->SetEndless(false); };
      break;
    case FaultKind::SearchersColdAgain:
      ReturnCold(aFault.mLength);
      return;
    case FaultKind::SearcherLosing:
      searcher->SetLosing(0.2);
      end = [searcher]() { searcher->SetLosing(0); };
      break;
    case FaultKind::SearcherDrained:
      Drain(searcher, aFault.mLength);
      return;
    default: {
      // One searcher, or all of its shard.
      const ServiceName service = searcher->Shape().mFacts.mService;
      for (const std::unique_ptr<EntrySearcher>& other : mSearchers) {
        const bool down = other.get() == searcher ||
                          (aFault.mKind == FaultKind::ShardDown &&
                           other->Shape().mFacts.mService == service);
        if (down && other->IsUp()) {
          other->Crash();
          After(aFault.mLength, [one = other.get()]() {
            if (!one->IsUp()) {
              one->Restart();
            }
          });
        }
      }
      return;
    }
  }
  After(aFault.mLength, std::move(end));
}

void
Soak::End()
{
  const std::size_t sent = mPromises.Requests() - mSentBeforeCalm;
  const std::size_t served = mPromises.Served() - mServedBeforeCalm;
  const bool recovered =
    mSettings.mTiming == TimingChecks::Off ||
    static_cast<double>(served) >= kServedAgain * static_cast<double>(sent);
  std::fprintf(stderr, "served at the end: %zu of %zu\n", served, sent);
  const std::size_t violations =
    mPromises.Violations().size() + (recovered ? 0 : 1);
  for (const std::string& violation : mPromises.Violations()) {
    std::fprintf(stderr, "VIOLATION: %s\n", violation.c_str());
  }
  if (!recovered) {
    std::fprintf(stderr, "VIOLATION: callers are not served again\n");
  }
  std::printf("end seed %llu queries %zu served %zu partial %zu refused %zu "
              "violations %zu\n",
              static_cast<unsigned long long>(mSettings.mSeed),
              mPromises.Requests(),
              mPromises.Served(),
              mPromises.Partial(),
              mPromises.Refused(),
              violations);
  std::fflush(stdout);
  mLoop.Stop();
}

} // namespace verbenachute::standins
