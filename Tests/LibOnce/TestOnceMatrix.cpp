#include "OnceRig.h"

#include <doctest/doctest.h>

#include <array>
#include <cstdio>

namespace verbenachute {

namespace {

constexpr std::size_t kHome = 0;
constexpr std::size_t kRelay = 1;
constexpr std::size_t kOther = 2;
constexpr std::uint64_t kId = 1;

struct RequestStep
{
  const char* mName;
  /// Time from the sending to the middle of the step.
  Duration mAt;
};

constexpr std::array kSteps = {
  RequestStep{ "caller to relay", microseconds(500) },
  RequestStep{ "relay to home", microseconds(1500) },
  RequestStep{ "queued at home", microseconds(3000) },
  RequestStep{ "runs at target", microseconds(9000) },
  RequestStep{ "home to relay", microseconds(14500) },
  RequestStep{ "relay to caller", microseconds(15500) },
};

struct Fault
{
  const char* mName;
  void (*mApply)(OnceRig& aRig, const NodeIdentity& aTicket);
};

const std::array kFaults = {
  Fault{ "none", [](OnceRig&, const NodeIdentity&) {} },
  Fault{ "duplicate to another node",
         [](OnceRig& aRig, const NodeIdentity& aTicket) {
           aRig.Send(kOther, kId, aTicket, milliseconds(100));
         } },
  Fault{ "duplicate to the home",
         [](OnceRig& aRig, const NodeIdentity& aTicket) {
           aRig.Send(kHome, kId, aTicket, milliseconds(100));
         } },
  Fault{ "duplicate with little time",
         [](OnceRig& aRig, const NodeIdentity& aTicket) {
           aRig.Send(kHome, kId, aTicket, microseconds(2500));
         } },
  Fault{ "another body",
         [](OnceRig& aRig, const NodeIdentity& aTicket) {
           aRig.Send(kOther, kId, aTicket, milliseconds(100), 7);
         } },
  Fault{ "lost reply",
         [](OnceRig& aRig, const NodeIdentity&) { aRig.LoseReplies(kRelay); } },
  Fault{ "home killed",
         [](OnceRig& aRig, const NodeIdentity&) { aRig.Kill(kHome); } },
  Fault{ "home restarted",
         [](OnceRig& aRig, const NodeIdentity&) { aRig.Restart(kHome); } },
  Fault{ "home frozen",
         [](OnceRig& aRig, const NodeIdentity&) { aRig.Freeze(kHome); } },
  Fault{ "relay killed",
         [](OnceRig& aRig, const NodeIdentity&) { aRig.Kill(kRelay); } },
  Fault{ "relay frozen",
         [](OnceRig& aRig, const NodeIdentity&) { aRig.Freeze(kRelay); } },
  Fault{ "cut relay to home",
         [](OnceRig& aRig, const NodeIdentity&) { aRig.Cut(kRelay, kHome); } },
  Fault{ "cut home to relay",
         [](OnceRig& aRig, const NodeIdentity&) { aRig.Cut(kHome, kRelay); } },
};

// In time, too late at the home's queue, and too late while it runs.
constexpr std::array kTimesLeft = { microseconds(100'000),
                                    microseconds(3'500),
                                    microseconds(8'000) };

void
RepeatEverywhere(OnceRig& aRig, const NodeIdentity& aTicket)
{
  for (const std::size_t node : { kOther, kHome, kRelay }) {
    aRig.Send(node, kId, aTicket, milliseconds(100));
  }
  aRig.RunFor(milliseconds(200));
}

void
MendAll(OnceRig& aRig)
{
  aRig.Heal(kRelay, kHome);
  aRig.Heal(kHome, kRelay);
  for (const std::size_t node : { kRelay, kHome }) {
    aRig.Thaw(node);
    if (!aRig.TicketOf(node)) {
      aRig.Restart(node);
    }
  }
}

// Sends the request, lets two faults happen at steps of it and has the
// caller repeat it under its ticket, before and after all is mended and once
// the ticket has run out. Returns the first broken promise.
std::string
RunCell(const RequestStep& aStep,
        const Fault& aFault,
        const Fault& aSecond,
        Duration aTimeLeft)
{
  OnceRig rig(3, {});
  rig.RunFor(seconds(100));
  const NodeIdentity ticket = *rig.TicketOf(kHome);
  const std::size_t first = rig.Send(kRelay, kId, ticket, aTimeLeft);
  rig.RunFor(aStep.mAt);
  aFault.mApply(rig, ticket);
  aSecond.mApply(rig, ticket);
  rig.RunFor(milliseconds(200));
  RepeatEverywhere(rig, ticket);
  MendAll(rig);
  RepeatEverywhere(rig, ticket);
  if (rig.OutcomeOf(first) == Execution::NotRun) {
    // Told "not run", the caller sends it anew with another ticket.
    rig.Send(kOther, kId, *rig.TicketOf(kOther), milliseconds(100));
    RepeatEverywhere(rig, ticket);
  }
  rig.RunFor(seconds(900));
  RepeatEverywhere(rig, ticket);
  rig.RunFor(seconds(2));
  const std::string violation = rig.Violation();
  return violation.empty() ? rig.Unanswered() : violation;
}

} // namespace

TEST_CASE("A non-idempotent request under pairs of faults at each step")
{
  int cells = 0;
  int held = 0;
  for (const RequestStep& step : kSteps) {
    for (const Fault& fault : kFaults) {
      for (const Fault& second : kFaults) {
        for (const Duration timeLeft : kTimesLeft) {
          const std::string broken = RunCell(step, fault, second, timeLeft);
          CAPTURE(step.mName);
          CAPTURE(fault.mName);
          CAPTURE(second.mName);
          CAPTURE(timeLeft.count());
          CHECK(broken.empty());
          ++cells;
          held += broken.empty() ? 1 : 0;
        }
      }
    }
  }
  std::printf("matrix at-most-once: cells %d, held %d, failed %d, "
              "not applicable 0\n",
              cells,
              held,
              cells - held);
}

TEST_CASE("Without a fault the request runs and its repeats say so")
{
  OnceRig rig(3, {});
  const NodeIdentity ticket = *rig.TicketOf(kHome);
  const std::size_t first = rig.Send(kRelay, kId, ticket, milliseconds(100));
  const std::size_t joined = rig.Send(kHome, kId, ticket, milliseconds(100));
  rig.RunFor(milliseconds(100));
  const std::size_t repeat = rig.Send(kOther, kId, ticket, milliseconds(100));
  rig.RunFor(milliseconds(100));
  CHECK(rig.Executions(kId) == 1);
  for (const std::size_t sending : { first, joined, repeat }) {
    CHECK(rig.OutcomeOf(sending) == Execution::Ran);
  }
}

} // namespace verbenachute
