#include <LibOnce/OnceOutcome.h>
#include <LibOnce/OnceRelay.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Instant kStart{ seconds(1000) };
constexpr Instant kDeadline = kStart + seconds(1);
const NodeIdentity kTicket{ NodeName("h"), Incarnation(105) };
const NodeIdentity kHome{ NodeName("h"), Incarnation(100) };
const NodeIdentity kRestarted{ NodeName("h"), Incarnation(200) };
using HomeLink = OnceRelay::HomeLink;

OnceRelay
Relay()
{
  return OnceRelay(RequestId("r"), kTicket, kDeadline);
}

QueryOutcome
NotRunOf(const char* aRequest)
{
  return OnceRefusal(
    RequestId(aRequest), ErrorCode::Overloaded, Execution::NotRun, "", "");
}

// "wait", "send" or what is said of the execution.
std::string
TextOf(const RelayAction& aAction)
{
  if (std::holds_alternative<RelayWait>(aAction)) {
    return "wait";
  }
  if (std::holds_alternative<RelaySend>(aAction)) {
    return "send";
  }
  return ExecutionName(ExecutionOf(std::get<RelayAnswer>(aAction).mOutcome));
}

} // namespace

TEST_CASE("A relay that can not send says 'outcome unknown'")
{
  struct Row
  {
    std::optional<NodeIdentity> mHome;
    HomeLink mLink;
    Instant mNow;
    const char* mExpected;
  };
  for (const Row& row :
       { Row{ kHome, HomeLink::Ready, kStart, "send" },
         Row{ kHome, HomeLink::Absent, kStart, "outcome unknown" },
         Row{ kRestarted, HomeLink::Ready, kStart, "outcome unknown" },
         Row{ std::nullopt, HomeLink::Absent, kStart, "outcome unknown" },
         Row{ kHome, HomeLink::Ready, kDeadline, "outcome unknown" } }) {
    OnceRelay relay = Relay();
    CHECK(TextOf(relay.Start(row.mHome, row.mLink, row.mNow)) == row.mExpected);
  }
}

TEST_CASE("A relay sends once and answers once with what the home says")
{
  OnceRelay relay = Relay();
  CHECK(TextOf(relay.OnReply(NotRunOf("r"))) == "wait");
  CHECK(TextOf(relay.Start(kHome, HomeLink::Ready, kStart)) == "send");
  CHECK(TextOf(relay.OnReply(NotRunOf("other"))) == "wait");
  CHECK(TextOf(relay.Tick(kStart)) == "wait");
  CHECK(TextOf(relay.OnReply(NotRunOf("r"))) == "not run");
  CHECK(TextOf(relay.OnReply(NotRunOf("r"))) == "wait");
  CHECK(TextOf(relay.OnLinkLost()) == "wait");
  CHECK(TextOf(relay.Tick(kDeadline)) == "wait");
}

TEST_CASE("A lost link and a passed deadline leave the outcome unknown")
{
  OnceRelay lost = Relay();
  CHECK(TextOf(lost.Start(kHome, HomeLink::Ready, kStart)) == "send");
  CHECK(TextOf(lost.OnLinkLost()) == "outcome unknown");
  CHECK(TextOf(lost.OnReply(NotRunOf("r"))) == "wait");
  OnceRelay late = Relay();
  CHECK(TextOf(late.Start(kHome, HomeLink::Ready, kStart)) == "send");
  CHECK(TextOf(late.Tick(kDeadline)) == "outcome unknown");
}

} // namespace verbenachute
