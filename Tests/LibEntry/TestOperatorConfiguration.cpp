#include <LibEntry/EntryState.h>

#include <LibConfiguration/ConfigurationCodec.h>
#include <LibConfiguration/WriteTask.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

using ConfigurationPointer = std::shared_ptr<const Configuration>;

constexpr Instant kNow{ seconds(50) };

class CountingLogger final : public Logger
{
public:
  void Log(const LogEvent& aEvent) override { ++mCounts[aEvent.Number()]; }

  std::map<EventNumber, int> mCounts;
};

/// A node with two targets of one service, in domains a and b. The operators'
/// changes reach it through the store.
struct Rig
{
  Rig()
  {
    Apply("op/config",
          R"({"Version":7,"Routes":[{"Name":"r","Host":"dock.example",)"
          R"("PathPrefix":"/a/","RouteKind":"safe","Backend":"b"},)"
          R"({"Name":"q","Host":"desk.example","PathPrefix":"/a/",)"
          R"("RouteKind":"safe","Backend":"b"}],)"
          R"("Backends":[{"Name":"b","MaxConns":26}]})");
    for (const char* domain : { "a", "b" }) {
      Apply(std::string("servers/i-") + domain,
            std::string(R"({"Backend":"b","Address":"10.0.0.1:80","Zone":")") +
              domain +
              R"(","Version":"v1","Capacity":2,"State":"ready",)"
              R"("WarmupLeftMs":0,"SeqNo":4})");
    }
  }

  void Apply(const std::string& aKey, std::optional<std::string> aValue)
  {
    mEntryState.Apply(
      { StoreChange{ aKey, std::move(aValue), StoreRevision(1) } },
      mFollower,
      kNow);
  }

  /// Makes an edit as the node does to which an operator sends it, and returns
  /// the keys that it writes.
  std::map<std::string, std::string> Write(const Edit& aEdit)
  {
    ChangeRequest request;
    request.mOperation = OperationId("op-" + std::to_string(++mOperations));
    request.mOperator = OperatorName("ana");
    request.mChange = MakeEdit{ aEdit, CoverageLoss::Accepted };
    const WriterBase& base = mEntryState.Intent().Base();
    const Result<ChangeOutcome> next = ApplyTask(
      ListedChange{
        request, std::make_shared<const TargetListing>(mEntryState.Listing()) },
      base.mConfiguration);
    REQUIRE_MESSAGE(!IsError(next),
                    (IsError(next) ? ErrorOf(next).mMessage : ""));
    const Result<EncodedConfiguration> encoded = ConfigurationCodec::Encode(
      *ValueOf(next).mConfiguration, base.mHead, PartTag("test"));
    REQUIRE(!IsError(encoded));
    std::map<std::string, std::string> keys;
    keys[std::string(kHeadKey)] = ValueOf(encoded).mHead.Text();
    for (const auto& [name, text] : ValueOf(encoded).mParts) {
      keys[name.Key()] = *text;
    }
    return keys;
  }

  void MakeChange(const Edit& aEdit)
  {
    for (const auto& [key, value] : Write(aEdit)) {
      Apply(key, value);
    }
  }

  /// Returns the targets that a caller's requests are sent to.
  std::set<std::string> ServedBy(const std::string& aHost)
  {
    std::set<std::string> targets;
    for (int i = 0; i < 20; ++i) {
      CallerRequest request;
      request.mHost = aHost;
      request.mCaller = CallerId(aHost);
      request.mTarget = "/a/1";
      request.mArrivalTime = kNow;
      const RequestNumber number(++mRequests);
      for (const ForwardAction& action : mEngine.Submit(
             number, std::make_shared<const CallerRequest>(request), kNow)) {
        if (const SendAction* send = std::get_if<SendAction>(&action)) {
          targets.insert(send->mTarget.value());
        }
      }
      static_cast<void>(mEngine.OnCallerDisconnected(number, kNow));
    }
    return targets;
  }

  ForwardEngine mEngine{ ForwardSettings() };
  CountingLogger mLogger;
  EntryState mEntryState{ mEngine,
                          mLogger,
                          { { FailureDomain("a"), Region("r") },
                            { FailureDomain("b"), Region("r") } },
                          Region("r") };
  StoreFollower mFollower{ StoreFollower::Settings() };
  int mOperations = 0;
  std::uint64_t mRequests = 0;
};

LabelExpression
ExpressionOf(const char* aText)
{
  const Result<LabelExpression> read = LabelExpression::Create(aText);
  REQUIRE(!IsError(read));
  return ValueOf(read);
}

const std::set<std::string> kBothTargets{ "i-a", "i-b" };
const std::set<std::string> kOnlyTargetA{ "i-a" };
const std::set<std::string> kOnlyTargetB{ "i-b" };

} // namespace

TEST_CASE(
  "Without a configuration of the operators every target serves all callers")
{
  Rig rig;
  CHECK(rig.ServedBy("dock.example") == kBothTargets);
  CHECK(rig.mEntryState.Configured()->AllTargets().size() == 2);
}

TEST_CASE(
  "A label and a selector keep new work from a target until the label is "
  "cleared")
{
  Rig rig;
  rig.MakeChange(SetSelector{ { "spare",
                                ExpressionOf("state=fragile"),
                                SelectorEffect::NoNewWork,
                                {} } });
  CHECK(rig.ServedBy("dock.example") == kBothTargets);
  rig.MakeChange(SetLabel{ TargetName("i-a"), "state", "fragile" });
  CHECK(rig.ServedBy("dock.example") == kOnlyTargetB);
  rig.MakeChange(ClearLabel{ TargetName("i-a"), "state" });
  CHECK(rig.ServedBy("dock.example") == kBothTargets);
  CHECK(rig.mEntryState.Intent().RevisionInForce() == Revision(3));
}

TEST_CASE("A selector reserves targets for some callers")
{
  Rig rig;
  rig.MakeChange(SetSelector{ { "dock-only",
                                ExpressionOf("domain=a"),
                                SelectorEffect::ServeOnly,
                                { CallerId("dock.example") } } });
  CHECK(rig.ServedBy("dock.example") == kBothTargets);
  CHECK(rig.ServedBy("desk.example") == kOnlyTargetB);
}

TEST_CASE("Domains taken out by the platform and by operators both get no work")
{
  Rig rig;
  rig.MakeChange(TakeDomainOut{ FailureDomain("a") });
  CHECK(rig.ServedBy("dock.example") == kOnlyTargetB);
  rig.Apply("op/evacuate/b", "{}");
  CHECK(rig.ServedBy("dock.example").empty());
  rig.MakeChange(BringDomainIn{ FailureDomain("a") });
  CHECK(rig.ServedBy("dock.example") == kOnlyTargetA);
  rig.Apply("op/evacuate/b", std::nullopt);
  CHECK(rig.ServedBy("dock.example") == kBothTargets);
}

TEST_CASE(
  "A target that appears later is subject to the rules from its first request")
{
  Rig rig;
  rig.Apply("servers/i-b", std::nullopt);
  rig.MakeChange(TakeDomainOut{ FailureDomain("b") });
  rig.Apply("servers/i-b",
            R"({"Backend":"b","Address":"10.0.0.2:80","Zone":"b",)"
            R"("Version":"v2","Capacity":2,"State":"ready","WarmupLeftMs":0,)"
            R"("SeqNo":1})");
  CHECK(rig.ServedBy("dock.example") == kOnlyTargetA);
}

TEST_CASE(
  "A revision comes into force only when complete, and an older one never "
  "again")
{
  Rig rig;
  const std::map<std::string, std::string> first =
    rig.Write(TakeDomainOut{ FailureDomain("a") });
  rig.Apply(std::string(kHeadKey), first.at(std::string(kHeadKey)));
  CHECK(rig.mEntryState.Intent().Known() == Revision(1));
  CHECK(rig.mEntryState.Intent().RevisionInForce() == Revision());
  CHECK(rig.ServedBy("dock.example") == kBothTargets);
  for (const auto& [key, value] : first) {
    rig.Apply(key, value);
  }
  CHECK(rig.ServedBy("dock.example") == kOnlyTargetB);
  rig.MakeChange(BringDomainIn{ FailureDomain("a") });
  CHECK(rig.mEntryState.Intent().RevisionInForce() == Revision(2));
  rig.Apply(std::string(kHeadKey), first.at(std::string(kHeadKey)));
  CHECK(rig.mEntryState.Intent().RevisionInForce() == Revision(2));
  CHECK(rig.ServedBy("dock.example") == kBothTargets);
}

TEST_CASE("A damaged head or part is logged and changes nothing")
{
  Rig rig;
  rig.MakeChange(TakeDomainOut{ FailureDomain("a") });
  rig.Apply(std::string(kHeadKey), "{");
  CHECK(rig.mLogger.mCounts[EventNumber::ChangeRefused] == 1);
  std::map<std::string, std::string> next =
    rig.Write(BringDomainIn{ FailureDomain("a") });
  for (auto& [key, value] : next) {
    rig.Apply(key, key == kHeadKey ? value : value + " ");
  }
  CHECK(rig.mLogger.mCounts[EventNumber::ChangeRefused] > 1);
  CHECK(rig.ServedBy("dock.example") == kOnlyTargetB);
  // If the operators' keys are lost, the accepted revision stays in force.
  rig.Apply(std::string(kHeadKey), std::nullopt);
  CHECK(rig.ServedBy("dock.example") == kOnlyTargetB);
}

} // namespace verbenachute
