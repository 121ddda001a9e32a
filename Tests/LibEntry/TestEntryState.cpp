#include <LibEntry/EntryState.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Instant kNow{ seconds(50) };

class RecordingLogger final : public Logger
{
public:
  void Log(const LogEvent& aEvent) override
  {
    mNumbers.push_back(aEvent.Number());
  }

  std::vector<EventNumber> mNumbers;
};

struct Rig
{
  ForwardEngine mEngine{ ForwardSettings() };
  RecordingLogger mLogger;
  EntryState mEntryState{ mEngine,
                          mLogger,
                          { { FailureDomain("a"), Region("r") } },
                          Region("r") };
  StoreFollower mFollower{ StoreFollower::Settings() };

  void Apply(const char* aKey, std::optional<std::string> aValue)
  {
    mEntryState.Apply(
      { StoreChange{ aKey, std::move(aValue), StoreRevision(1) } },
      mFollower,
      kNow);
  }
};

std::string
Entry(const char* aState, const char* aDomain)
{
  return std::string(R"({"Backend":"b","Address":"10.0.0.1:80","Zone":")") +
         aDomain + R"(","Version":"v1","Capacity":2,"State":")" + aState +
         R"(","WarmupLeftMs":0,"SeqNo":4})";
}

constexpr const char* kPlan =
  R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/",)"
  R"("RouteKind":"safe","Backend":"b"}],)"
  R"("Backends":[{"Name":"b","MaxConns":26}]})";

} // namespace

TEST_CASE("A plan comes into force and an unreadable one changes nothing")
{
  Rig rig;
  rig.Apply("op/config", kPlan);
  REQUIRE(rig.mEngine.Plan() != nullptr);
  rig.Apply("op/config", "no plan");
  rig.Apply("op/config", std::nullopt);
  CHECK(rig.mEngine.Plan()->Version() == PlanVersion(7));
  CHECK(rig.mEntryState.UnreadableEntries() == 1);
}

TEST_CASE("Targets are listed, and unreadable entries add or keep none")
{
  Rig rig;
  rig.Apply("servers/i-1", Entry("ready", "a"));
  CHECK(rig.mEngine.Targets().Find(TargetName("i-1")) != nullptr);
  rig.Apply("servers/i-2", "{}");
  CHECK(rig.mEngine.Targets().size() == 1);
  rig.Apply("servers/i-1", "\xff");
  CHECK(rig.mEngine.Targets().size() == 0);
  CHECK(rig.mEntryState.UnreadableEntries() == 2);
}

TEST_CASE("A failure domain that is out gets no requests until it is back in")
{
  Rig rig;
  rig.Apply("op/config", kPlan);
  rig.Apply("servers/i-1", Entry("ready", "a"));
  CallerRequest request;
  request.mHost = "h";
  request.mTarget = "/a/1";
  request.mArrivalTime = kNow;
  std::uint64_t number = 0;
  const auto isSent = [&]() {
    const ForwardActions actions =
      rig.mEngine.Submit(RequestNumber(++number),
                         std::make_shared<const CallerRequest>(request),
                         kNow);
    return std::holds_alternative<SendAction>(actions.front());
  };
  CHECK(isSent());
  rig.Apply("op/evacuate/a", "{}");
  CHECK(!isSent());
  rig.Apply("op/evacuate/b", "{}");
  rig.Apply("op/evacuate/a", std::nullopt);
  CHECK(isSent());
}

} // namespace verbenachute
