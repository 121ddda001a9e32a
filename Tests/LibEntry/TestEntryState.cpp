#include <LibEntry/EntryState.h>

#include <platform/StoreWire.h>

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

std::string
Base64(std::string_view aBytes)
{
  static constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const char byte = i + j < aBytes.size() ? aBytes[i + j] : '\0';
      group = group << 8U | static_cast<unsigned char>(byte);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
        i + j > aBytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63U];
    }
  }
  return text;
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

// Guards against a node that ends, or stops following the store, because of one
// odd entry of another writer.
TEST_CASE("An odd entry among the targets' own changes nothing for the others")
{
  const std::string good = Entry("ready", "a");
  const auto with = [&](const char* aField, const std::string& aValue) {
    std::string entry = good;
    const std::size_t at = entry.find(std::string("\"") + aField);
    const std::size_t begin = entry.find(':', at) + 1;
    std::size_t end = entry.find(',', begin);
    end = end == std::string::npos ? entry.size() - 1 : end;
    return entry.replace(begin, end - begin, aValue);
  };
  const std::string deep =
    std::string(100'000, '[') + std::string(100'000, ']');
  const std::string odd[] = {
    deep,
    std::string(100'000, '['),
    std::string(100'000, '{'),
    with("Capacity", deep),
    with("Capacity", "1e400"),
    with("Capacity", "-1"),
    with("Capacity", std::string(400, '9')),
    with("SeqNo", "18446744073709551616"),
    with("SeqNo", "1e20"),
    with("WarmupLeftMs", "1e300"),
    with("WarmupLeftMs", "-5"),
    with("WarmupLeftMs", std::string(100'000, '1')),
    with("Address", R"("10.0.0.1:65536")"),
    with("Address", R"("10.0.0.1:-1")"),
    with("Address", R"("10.0.0.1:0")"),
    with("Address", R"("10.0.0.1:99999999999999999999")"),
    with("Address", R"("10.0.0.1:")"),
  };
  for (const std::string& value : odd) {
    CAPTURE(value.substr(0, 150));
    const std::string items =
      R"([{"Key":"servers/i-1","Value":")" + Base64(good) +
      R"(","Revision":1,"CreatedRev":1,"Lease":0},)"
      R"({"Key":"servers/i-2","Value":")" +
      Base64(value) +
      R"(","Revision":2,"CreatedRev":1,"Lease":0},)"
      R"({"Key":"servers/i-3","Value":")" +
      Base64(good) + R"(","Revision":3,"CreatedRev":1,"Lease":0}])";
    HttpResponse listed;
    listed.mStatus = 200;
    listed.mBody = R"({"items":)" + items + R"(,"MorePages":false,"AtRev":3})";
    HttpResponse watched;
    watched.mStatus = 200;
    watched.mBody = R"({"events":)" + items + R"(,"AtRev":3})";
    Rig afterList;
    const platform::StoreResult<StorePage> page =
      platform::ReadPageResult(listed);
    REQUIRE(std::holds_alternative<StorePage>(page));
    REQUIRE(std::get<StorePage>(page).mItems.size() == 3);
    for (const StoreItem& item : std::get<StorePage>(page).mItems) {
      afterList.Apply(item.mKey.c_str(), item.mValue);
    }
    CHECK(afterList.mEngine.Targets().size() == 2);
    Rig afterWatch;
    const platform::StoreResult<StoreChanges> changes =
      platform::WatchResult(watched);
    REQUIRE(std::holds_alternative<StoreChanges>(changes));
    CHECK(std::get<StoreChanges>(changes).mStoreRevision == StoreRevision(3));
    afterWatch.mEntryState.Apply(
      std::get<StoreChanges>(changes).mChanges, afterWatch.mFollower, kNow);
    CHECK(afterWatch.mEngine.Targets().size() == 2);
    CHECK(afterWatch.mEntryState.UnreadableEntries() == 1);
  }
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

// Guards against targets that get requests until the owner looks again.
TEST_CASE("The owner is told when a delayed removal is due")
{
  Rig rig;
  rig.Apply("servers/t", Entry("ready", "a"));
  CHECK(!rig.mEntryState.NextRemoval().has_value());
  static_cast<void>(rig.mFollower.TakeDueCalls(kNow));
  rig.mFollower.OnFailure(StoreFailure::Unreachable, kNow);
  rig.Apply("servers/t", std::nullopt);
  REQUIRE(rig.mEntryState.NextRemoval() == kNow + milliseconds(2500));
  rig.mEntryState.OnTime(kNow + milliseconds(2499));
  CHECK(rig.mEngine.Targets().Find(TargetName("t")) != nullptr);
  rig.mEntryState.OnTime(kNow + milliseconds(2500));
  CHECK(rig.mEngine.Targets().Find(TargetName("t")) == nullptr);
  CHECK(!rig.mEntryState.NextRemoval().has_value());
}

} // namespace verbenachute
