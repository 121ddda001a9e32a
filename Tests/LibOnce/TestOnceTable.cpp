#include <LibOnce/OnceOutcome.h>
#include <LibOnce/OnceTable.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Instant kStart{ seconds(1000) };
const NodeIdentity kSelf{ NodeName("a"), Incarnation(100) };

// Builder of one sending of request "r" of caller "c".
class Sending
{
public:
  explicit Sending(const std::optional<NodeIdentity>& aTicket)
  {
    mRequest.mKey = { CallerId("c"), RequestId("r") };
    mRequest.mFingerprint = Fingerprint(1);
    mRequest.mTicket = aTicket;
    mRequest.mTimeLeft = seconds(1);
  }

  Sending& Id(const std::string& aId)
  {
    mRequest.mKey.mRequest = RequestId(aId);
    return *this;
  }

  Sending& Body(std::uint64_t aFingerprint)
  {
    mRequest.mFingerprint = Fingerprint(aFingerprint);
    return *this;
  }

  Sending& Waiter(std::uint64_t aWaiter)
  {
    mRequest.mWaiter = WaiterId(aWaiter);
    return *this;
  }

  Sending& FromPeer()
  {
    mRequest.mOrigin = OnceOrigin::Peer;
    return *this;
  }

  [[nodiscard]] OnceDecision To(OnceTable& aTable, Instant aNow) const
  {
    return aTable.Decide(mRequest, aNow);
  }

private:
  OnceRequest mRequest;
};

const OnceKey kKey{ CallerId("c"), RequestId("r") };

QueryOutcome
Answer(std::size_t aBytes = 10)
{
  QueryAnswer answer;
  answer.mRequest = RequestId("r");
  answer.mHits.push_back(Hit{ "d", 1, std::string(aBytes, 'x') });
  return answer;
}

QueryOutcome
NotRun()
{
  return OnceRefusal(
    RequestId("r"), ErrorCode::Overloaded, Execution::NotRun, "", "");
}

// The reason and the execution of a refusal; empty for another decision.
std::string
RefusalText(const OnceDecision& aDecision)
{
  const OnceRefuse* refuse = std::get_if<OnceRefuse>(&aDecision);
  if (refuse == nullptr) {
    return "";
  }
  return std::to_string(static_cast<int>(refuse->mReason)) + " " +
         ExecutionName(refuse->mRefusal.mExecution);
}

std::string
Refusal(OnceRefusalReason aReason, Execution aExecution)
{
  return std::to_string(static_cast<int>(aReason)) + " " +
         ExecutionName(aExecution);
}

template<typename Kind>
bool
Is(const OnceDecision& aDecision)
{
  return std::holds_alternative<Kind>(aDecision);
}

Execution
ReplayedExecution(const OnceDecision& aDecision)
{
  REQUIRE(Is<OnceReplay>(aDecision));
  return ExecutionOf(std::get<OnceReplay>(aDecision).mOutcome);
}

} // namespace

TEST_CASE("A request runs once; repeats join it and then get its outcome")
{
  OnceTable table(kSelf, {}, kStart);
  const NodeIdentity ticket = table.CurrentTicket(kStart);
  CHECK(Is<OnceRun>(Sending(ticket).Waiter(1).To(table, kStart)));
  CHECK(Is<OnceJoin>(Sending(ticket).Waiter(2).To(table, kStart)));
  CHECK(Is<OnceJoin>(Sending(ticket).Waiter(3).FromPeer().To(table, kStart)));
  table.DropWaiter(kKey, WaiterId(2));
  CHECK(table.Finish(kKey, Answer(), kStart) ==
        std::vector{ WaiterId(1), WaiterId(3) });
  CHECK(ReplayedExecution(Sending(ticket).To(table, kStart)) == Execution::Ran);
  CHECK(table.Running() == 0);
}

TEST_CASE("What is refused without a run, and what is said of it")
{
  OnceTable table(kSelf, {}, kStart);
  const NodeIdentity ticket = table.CurrentTicket(kStart);
  const NodeIdentity other{ NodeName("b"), Incarnation(1) };
  CHECK(RefusalText(Sending(std::nullopt).To(table, kStart)) ==
        Refusal(OnceRefusalReason::MissingTicket, Execution::NotRun));
  CHECK(Is<OnceRelayTo>(Sending(other).To(table, kStart)));
  CHECK(RefusalText(Sending(other).FromPeer().To(table, kStart)) ==
        Refusal(OnceRefusalReason::Misrouted, Execution::OutcomeUnknown));
  for (const std::uint64_t life : { 99, 101, 0 }) {
    CHECK(RefusalText(Sending(NodeIdentity{ kSelf.mName, Incarnation(life) })
                        .To(table, kStart)) ==
          Refusal(OnceRefusalReason::TicketUnknown, Execution::OutcomeUnknown));
  }
  CHECK(Is<OnceRun>(Sending(ticket).To(table, kStart)));
  CHECK(RefusalText(Sending(ticket).Body(2).To(table, kStart)) ==
        Refusal(OnceRefusalReason::Conflict, Execution::NotRun));
}

TEST_CASE("A ticket is honoured exactly as long as its requests are known")
{
  OnceTable table(kSelf, {}, kStart);
  const NodeIdentity ticket = table.CurrentTicket(kStart);
  CHECK(table.CurrentTicket(kStart + milliseconds(59'999)) == ticket);
  const Instant issued = kStart + seconds(59);
  CHECK(Is<OnceRun>(Sending(ticket).To(table, issued)));
  static_cast<void>(table.Finish(kKey, Answer(), issued));
  const Instant end = kStart + seconds(720);
  CHECK(ReplayedExecution(Sending(ticket).To(table, end - milliseconds(1))) ==
        Execution::Ran);
  CHECK(RefusalText(Sending(ticket).To(table, end)) ==
        Refusal(OnceRefusalReason::TicketUnknown, Execution::OutcomeUnknown));
  CHECK(table.Entries() == 0);
  CHECK(table.Bytes() == 0);
  const NodeIdentity later = table.CurrentTicket(end);
  CHECK(later.mIncarnation > ticket.mIncarnation);
  CHECK(Is<OnceRun>(Sending(later).To(table, end)));
}

TEST_CASE("A request that outlives its ticket keeps its waiters")
{
  OnceTable table(kSelf, {}, kStart);
  const NodeIdentity ticket = table.CurrentTicket(kStart);
  CHECK(Is<OnceRun>(Sending(ticket).Waiter(4).To(table, kStart)));
  const Instant late = kStart + seconds(5000);
  CHECK(table.Tick(kStart + milliseconds(999)).empty());
  CHECK(table.Tick(late) == std::vector{ WaiterId(4) });
  CHECK(table.Entries() == 1);
  CHECK(table.Finish(kKey, Answer(), late).empty());
  CHECK(table.Entries() == 0);
}

TEST_CASE("After 'not run' only a newer ticket lets the request run")
{
  OnceTable table(kSelf, {}, kStart);
  const NodeIdentity first = table.CurrentTicket(kStart);
  CHECK(Is<OnceRun>(Sending(first).To(table, kStart)));
  static_cast<void>(table.Finish(kKey, NotRun(), kStart));
  CHECK(ReplayedExecution(Sending(first).To(table, kStart)) ==
        Execution::NotRun);
  const Instant later = kStart + seconds(60);
  const NodeIdentity second = table.CurrentTicket(later);
  CHECK(Is<OnceRun>(Sending(second).To(table, later)));
  // The sending of before that was still on its way.
  CHECK(Is<OnceJoin>(Sending(first).To(table, later)));
  static_cast<void>(table.Finish(kKey, Answer(), later));
  for (const NodeIdentity& ticket : { first, second }) {
    CHECK(ReplayedExecution(Sending(ticket).To(table, later)) ==
          Execution::Ran);
  }
}

TEST_CASE("A full table says 'not run' only of tickets that stay closed")
{
  OnceTable::Settings settings;
  settings.mMaxEntries = 2;
  OnceTable table(kSelf, settings, kStart);
  const NodeIdentity ticket = table.CurrentTicket(kStart);
  for (const char* id : { "1", "2" }) {
    CHECK(Is<OnceRun>(Sending(ticket).Id(id).To(table, kStart)));
    static_cast<void>(
      table.Finish({ CallerId("c"), RequestId(id) }, Answer(), kStart));
  }
  const std::string full = Refusal(OnceRefusalReason::Full, Execution::NotRun);
  CHECK(RefusalText(Sending(ticket).To(table, kStart)) == full);
  CHECK(Is<OnceReplay>(Sending(ticket).Id("1").To(table, kStart)));
  const NodeIdentity closed = table.CurrentTicket(kStart + seconds(600));
  CHECK(RefusalText(Sending(closed).To(table, kStart + seconds(700))) == full);
  // There is room again, but a duplicate of what was refused must not run.
  const Instant later = kStart + seconds(721);
  const NodeIdentity open = table.CurrentTicket(later);
  CHECK(RefusalText(Sending(closed).To(table, later)) == full);
  CHECK(table.Entries() == 0);
  CHECK(Is<OnceRun>(Sending(open).To(table, later)));
}

TEST_CASE("Memory is bounded by entries, bytes, outcomes and waiters")
{
  OnceTable::Settings settings;
  settings.mMaxBytes = 100'000;
  settings.mMaxOutcomeBytes = 1000;
  settings.mMaxWaiters = 2;
  OnceTable table(kSelf, settings, kStart);
  const NodeIdentity ticket = table.CurrentTicket(kStart);
  CHECK(Is<OnceRun>(Sending(ticket).To(table, kStart)));
  CHECK(Is<OnceJoin>(Sending(ticket).To(table, kStart)));
  CHECK(RefusalText(Sending(ticket).To(table, kStart)) ==
        Refusal(OnceRefusalReason::TooManyWaiters, Execution::OutcomeUnknown));
  static_cast<void>(table.Finish(kKey, Answer(5000), kStart));
  // The answer is gone, yet it is known that the request ran.
  CHECK(ReplayedExecution(Sending(ticket).To(table, kStart)) == Execution::Ran);
  for (int i = 0; i < 1000; ++i) {
    const std::string id = std::to_string(i);
    if (Is<OnceRun>(Sending(ticket).Id(id).To(table, kStart))) {
      static_cast<void>(
        table.Finish({ CallerId("c"), RequestId(id) }, Answer(500), kStart));
    }
    CHECK(table.Bytes() <= settings.mMaxBytes);
  }
}

TEST_CASE("A leaving node answers repeats and runs nothing new")
{
  OnceTable table(kSelf, {}, kStart);
  const NodeIdentity ticket = table.CurrentTicket(kStart);
  CHECK(Is<OnceRun>(Sending(ticket).Id("1").To(table, kStart)));
  table.RefuseNew();
  CHECK(Is<OnceJoin>(Sending(ticket).Id("1").To(table, kStart)));
  for (const Instant now : { kStart, kStart + seconds(61) }) {
    CHECK(RefusalText(Sending(table.CurrentTicket(now)).To(table, now)) ==
          Refusal(OnceRefusalReason::Full, Execution::NotRun));
  }
}

} // namespace verbenachute
