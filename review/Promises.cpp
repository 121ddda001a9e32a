#include "Promises.h"

#include "Callers.h"

#include <LibJson/JsonText.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace verbenachute::review {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

/// Calls aTask each aInterval from now on, aCount times.
void
Repeat(Soak& aSoak,
       Duration aInterval,
       std::size_t aCount,
       const std::function<void(std::size_t)>& aTask)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    aSoak.After(static_cast<Duration::rep>(i) * aInterval,
                [aTask, i]() { aTask(i); });
  }
}

// Case storm: a big configuration changes in quick succession.

constexpr std::size_t kAddedRoutes = 1400;
constexpr std::size_t kShards = 30;
constexpr std::size_t kStormVersions = 25;
constexpr Duration kStormGap = milliseconds(60);
constexpr Duration kConfigApply = milliseconds(3000);
constexpr std::size_t kMaxValueBytes = 1048576;

std::string
ShardName(std::size_t aShard)
{
  return "painel-doca-" + std::to_string(10 + aShard);
}

std::string
StormPlan(std::uint64_t aVersion, bool aIsNew)
{
  Json::Value plan = EmptyPlan(aVersion);
  Json::Value moved = RouteJson("moved", "safe", seconds(2));
  moved["Backend"] = aIsNew ? "beta" : "alpha";
  plan["Routes"].append(moved);
  if (aIsNew) {
    Json::Value added = RouteJson("added", "safe", seconds(2));
    added["Backend"] = "beta";
    plan["Routes"].append(added);
  }
  for (std::size_t i = 0; i < kAddedRoutes; ++i) {
    Json::Value route =
      RouteJson("idle-" + std::to_string(1000 + i), "safe", seconds(2));
    route["TopK"] = 20;
    route["MinCoverage"] = 0.89;
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      route["Gather"].append(ShardName(shard));
    }
    plan["Routes"].append(route);
  }
  plan["Backends"].append(BackendJson("alpha"));
  plan["Backends"].append(BackendJson("beta"));
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    plan["Backends"].append(BackendJson(ShardName(shard)));
  }
  return CompactJson(plan);
}

void
CheckStormAnswer(Soak& aSoak, const std::string& aId, const Request& aRequest)
{
  const std::string where = " at node " + std::to_string(aRequest.mNode + 1);
  if (aRequest.mPath.starts_with("/added/") && aRequest.mStatus == kNotFound) {
    aSoak.Broken(aId + where + ": 404 for a route that was added");
  }
  for (const std::string& service : aRequest.mRuns) {
    if (service == "alpha") {
      aSoak.Broken(aId + where + ": run by the service of the older version");
    }
  }
}

void
ProbeAfterStorm(Soak& aSoak)
{
  constexpr std::size_t kProbes = 40;
  Repeat(aSoak, milliseconds(100), kProbes, [&aSoak](std::size_t aRound) {
    for (std::size_t node = 0; node < aSoak.Nodes(); ++node) {
      for (const char* path : { "/added/x", "/moved/x" }) {
        static_cast<void>(
          aSoak.Send(node,
                     "GET",
                     path + std::to_string(aRound),
                     seconds(2),
                     "",
                     [&aSoak](const std::string& aId, const Request& aSent) {
                       CheckStormAnswer(aSoak, aId, aSent);
                     }));
      }
    }
  });
  aSoak.After(seconds(8), [&aSoak]() { aSoak.End(); });
}

void
SendStorm(Soak& aSoak, const std::shared_ptr<std::vector<std::string>>& aPlans)
{
  Repeat(
    aSoak, kStormGap, aPlans->size(), [&aSoak, aPlans](std::size_t aIndex) {
      aSoak.Put("op/config", aPlans->at(aIndex), [&aSoak, aPlans, aIndex]() {
        aSoak.Record("acknowledged version " + std::to_string(2 + aIndex));
        if (aIndex + 1 == aPlans->size()) {
          aSoak.After(kConfigApply + milliseconds(200),
                      [&aSoak]() { ProbeAfterStorm(aSoak); });
        }
      });
    });
}

void
Storm(Soak& aSoak)
{
  static_cast<void>(aSoak.AddSearcher("i-alpha-1", "alpha", "zone-a"));
  static_cast<void>(aSoak.AddSearcher("i-alpha-2", "alpha", "zone-b"));
  static_cast<void>(aSoak.AddSearcher("i-beta-1", "beta", "zone-a"));
  static_cast<void>(aSoak.AddSearcher("i-beta-2", "beta", "zone-b"));
  const std::string first = StormPlan(1, false);
  if (first.size() > kMaxValueBytes) {
    aSoak.Fail("the configuration is larger than MaxValueBytes");
    return;
  }
  aSoak.Record("configuration of " + std::to_string(first.size()) + " bytes");
  aSoak.Put("op/config", first);
  aSoak.WhenReady([&aSoak]() {
    const std::size_t versions = aSoak.HasTrouble() ? kStormVersions : 1;
    // Written before, so that each version goes out at its moment.
    const std::shared_ptr<std::vector<std::string>> plans =
      std::make_shared<std::vector<std::string>>();
    for (std::size_t i = 0; i < versions; ++i) {
      plans->push_back(StormPlan(2 + i, i + 1 == versions));
    }
    aSoak.After(seconds(5), [&aSoak, plans]() { SendStorm(aSoak, plans); });
  });
}

// Case refused: a searcher fails part of the requests that it has run.

constexpr double kFailingShare = 0.4;
constexpr std::size_t kBookingSearchers = 7;
constexpr std::size_t kBookings = 600;
constexpr Duration kBookingInterval = milliseconds(50);

/// Runs of each booking, whatever the ids of its requests.
using BookingRuns = std::map<std::size_t, std::size_t>;

enum class Try
{
  First,
  /// After a promise that the booking has not run.
  Again,
};

void
SendBooking(Soak& aSoak,
            std::size_t aNumber,
            Try aTry,
            const std::shared_ptr<BookingRuns>& aRuns)
{
  const auto done = [&aSoak, aNumber, aTry, aRuns](const std::string& aId,
                                                   const Request& aSent) {
    const bool isPromise =
      aSent.mStatus == kUnavailable || aSent.mStatus == kTooMany;
    if (isPromise && !aSent.mRuns.empty()) {
      aSoak.Broken(aId + " was answered " + std::to_string(aSent.mStatus) +
                   " and has run");
    }
    std::size_t& runs = (*aRuns)[aNumber];
    runs += aSent.mRuns.size();
    if (runs > 1) {
      aSoak.Record("booking " + std::to_string(aNumber) + " ran " +
                   std::to_string(runs) + " times");
    }
    if (isPromise && aTry == Try::First) {
      SendBooking(aSoak, aNumber, Try::Again, aRuns);
    }
  };
  const std::string number = std::to_string(aNumber);
  static_cast<void>(aSoak.Send(aNumber % aSoak.Nodes(),
                               "POST",
                               "/book/" + number,
                               seconds(2),
                               "booking " + number,
                               done));
}

void
Refused(Soak& aSoak)
{
  Json::Value plan = EmptyPlan(1);
  Json::Value route = RouteJson("book", "unsafe", seconds(2));
  route["Backend"] = "booking";
  plan["Routes"].append(route);
  plan["Backends"].append(BackendJson("booking"));
  for (std::size_t i = 0; i < kBookingSearchers; ++i) {
    EntrySearcher& searcher = aSoak.AddSearcher(
      "i-booking-" + std::to_string(i + 1), "booking", "zone-a");
    searcher.SetFailureStatus(kUnavailable);
    if (aSoak.HasTrouble() && i == 0) {
      searcher.SetAnswers(
        [number = std::make_shared<std::size_t>(0)](const std::string&) {
          // Evenly spread, so that each run of the case does the same.
          const auto failures = [](std::size_t aCount) {
            return static_cast<std::size_t>(static_cast<double>(aCount) *
                                            kFailingShare);
          };
          ++*number;
          return failures(*number) > failures(*number - 1) ? Answer::OwnFailure
                                                           : Answer::Success;
        });
    }
  }
  aSoak.Put("op/config", CompactJson(plan));
  aSoak.WhenReady([&aSoak]() {
    const std::shared_ptr<BookingRuns> runs = std::make_shared<BookingRuns>();
    Repeat(
      aSoak, kBookingInterval, kBookings, [&aSoak, runs](std::size_t aNumber) {
        SendBooking(aSoak, aNumber, Try::First, runs);
      });
    aSoak.After(kBookingInterval * kBookings + seconds(4), [&aSoak, runs]() {
      const auto twice =
        std::count_if(runs->begin(), runs->end(), [](const auto& aEntry) {
          return aEntry.second > 1;
        });
      std::printf("bookings that ran twice: %zu\n",
                  static_cast<std::size_t>(twice));
      aSoak.End();
    });
  });
}

// Case cold: all searchers of a service crash and come back together, cold.

constexpr double kWarmupPerSecond = 2;
constexpr double kWarmupOvershoot = 1.5;
constexpr double kWarmupSlack = 5;
constexpr Duration kWarmup = seconds(3);
// A cold searcher crashes at a rate well above what it tolerates.
constexpr double kCrashFactor = 2;
constexpr Duration kDown = milliseconds(1100);
// Time between the starts of the searchers.
constexpr Duration kApart = milliseconds(50);
constexpr std::size_t kColdRequests = 1200;

/// Counts requests that were sent and arrived inside one second.
class ColdCounter
{
public:
  /// True if the rule's bound is exceeded for the first time.
  bool OnArrival(const std::string& aSearcher, Instant aSent, Instant aNow)
  {
    std::deque<Instant>& sent = mSent[aSearcher];
    sent.push_back(aSent);
    while (!sent.empty() && aNow - sent.front() > seconds(1)) {
      sent.pop_front();
    }
    std::size_t& most = mMost[aSearcher];
    const bool wasWithin = static_cast<double>(most) <= Bound();
    most = std::max(most, sent.size());
    return wasWithin && static_cast<double>(most) > Bound();
  }

  [[nodiscard]] static double Bound()
  {
    return kWarmupPerSecond * kWarmupOvershoot + kWarmupSlack;
  }
  [[nodiscard]] const std::map<std::string, std::size_t>& Most() const
  {
    return mMost;
  }

private:
  std::map<std::string, std::deque<Instant>> mSent;
  std::map<std::string, std::size_t> mMost;
};

/// Bookings since then that a searcher began to run and that have no success.
void
ReportLost(Soak& aSoak, Instant aSince)
{
  const auto& requests = aSoak.Requests();
  const auto lost =
    std::count_if(requests.begin(), requests.end(), [&](const auto& aEntry) {
      return aEntry.second.mSent >= aSince &&
             aEntry.second.mPath.starts_with("/book/") &&
             !aEntry.second.mRuns.empty() && aEntry.second.mStatus != kOk;
    });
  aSoak.Record("bookings that began and were lost: " + std::to_string(lost));
  std::printf("bookings that began and were lost: %zu\n",
              static_cast<std::size_t>(lost));
}

void
Cold(Soak& aSoak)
{
  Json::Value plan = EmptyPlan(1);
  Json::Value route = RouteJson("book", "unsafe", seconds(2));
  route["Backend"] = "booking";
  plan["Routes"].append(route);
  Json::Value backend = BackendJson("booking");
  backend["WarmupPerS"] = kWarmupPerSecond;
  plan["Backends"].append(backend);
  std::vector<EntrySearcher*> searchers;
  for (const char* name : { "1", "2" }) {
    searchers.push_back(&aSoak.AddSearcher(
      std::string("i-booking-") + name, "booking", std::string("zone-a")));
  }
  const std::shared_ptr<ColdCounter> counter = std::make_shared<ColdCounter>();
  aSoak.SetArrived(
    [&aSoak, counter](const Request& aRequest, EntrySearcher* aSearcher) {
      if (!aSearcher->IsCold()) {
        return;
      }
      const std::string& id = aSearcher->Shape().mId;
      aSoak.Record("arrives at the cold searcher " + id);
      if (counter->OnArrival(id, aRequest.mSent, aSoak.Loop().Now())) {
        aSoak.Broken("the cold searcher " + id +
                     " got more requests in one second than the bound of " +
                     std::to_string(ColdCounter::Bound()));
      }
      if (static_cast<double>(counter->Most().at(id)) >
          kCrashFactor * ColdCounter::Bound()) {
        aSoak.Record("the cold searcher " + id + " crashes");
        aSoak.Loop().Defer([aSearcher]() { aSearcher->Crash(); });
      }
    });
  aSoak.Put("op/config", CompactJson(plan));
  const std::shared_ptr<Instant> back =
    std::make_shared<Instant>(aSoak.Loop().Now());
  aSoak.WhenReady([&aSoak, counter, searchers, back]() {
    Repeat(
      aSoak, milliseconds(8), kColdRequests, [&aSoak](std::size_t aNumber) {
        static_cast<void>(aSoak.Send(aNumber % aSoak.Nodes(),
                                     "POST",
                                     "/book/" + std::to_string(aNumber),
                                     seconds(2),
                                     "booking " + std::to_string(aNumber),
                                     {}));
      });
    if (aSoak.HasTrouble()) {
      aSoak.After(seconds(5), [&aSoak, searchers]() {
        aSoak.Record("both searchers crash");
        for (EntrySearcher* searcher : searchers) {
          searcher->Crash();
        }
      });
      for (std::size_t i = 0; i < searchers.size(); ++i) {
        EntrySearcher* searcher = searchers[i];
        aSoak.After(seconds(5) + kDown + static_cast<Duration::rep>(i) * kApart,
                    [&aSoak, searcher, back]() {
                      *back = aSoak.Loop().Now();
                      aSoak.Record(searcher->Shape().mId + " is back, cold");
                      if (!searcher->StartAgain(kWarmup)) {
                        aSoak.Fail("a searcher could not start again");
                      }
                    });
      }
    }
    aSoak.After(seconds(13), [&aSoak, counter, back]() {
      for (const auto& [id, most] : counter->Most()) {
        aSoak.Record("most in one second at " + id + ": " +
                     std::to_string(most));
        std::printf("most in one second at %s: %zu\n", id.c_str(), most);
      }
      ReportLost(aSoak, *back);
      aSoak.End();
    });
  });
}

// Case poison: a request that crashes its searchers comes again and again.

constexpr const char* kCrashMarker = "crash-marker";
constexpr const char* kPoisonPath = "/find/crash-marker";
constexpr Duration kContact = milliseconds(4000);
constexpr Duration kPoisonInterval = milliseconds(40);
constexpr Duration kPoisonTime = seconds(72);
constexpr std::size_t kAllowedRetries = 3;
constexpr std::size_t kCrashesToKnow = 3;
constexpr std::size_t kFindSearchers = 12;
constexpr Duration kFindWork = milliseconds(90);

struct PoisonState
{
  std::size_t mCrashes = 0;
  Instant mThirdCrash;
  /// Requests that reached searchers too late.
  std::set<std::string> mLate;
  Instant mCalmFrom;
};

void
OnPoisonArrival(Soak& aSoak, PoisonState* aState, const std::string& aId)
{
  const Instant now = aSoak.Loop().Now();
  // Each arrival that is run crashes its searcher.
  if (++aState->mCrashes == kCrashesToKnow) {
    aState->mThirdCrash = now;
    aSoak.Record("the third crash");
  }
  const bool isLate =
    aState->mCrashes > kCrashesToKnow && now - aState->mThirdCrash > kContact;
  if (isLate && aState->mLate.insert(aId).second) {
    aSoak.Record("reaches a searcher after all: " + aId);
    if (aState->mLate.size() == kAllowedRetries + 1) {
      aSoak.Broken("a request that crashes searchers reached them in more "
                   "than three retries later than ContactMs after the third "
                   "crash");
    }
  }
}

void
SendPoison(Soak& aSoak, std::size_t aNode, Try aTry)
{
  static_cast<void>(
    aSoak.Send(aNode,
               "GET",
               kPoisonPath,
               seconds(2),
               "",
               [&aSoak, aNode, aTry](const std::string&, const Request& aSent) {
                 // A consumer repeats a safe request once after a failure,
                 // elsewhere.
                 if (aSent.mStatus != kOk && aTry == Try::First) {
                   SendPoison(aSoak, (aNode + 1) % aSoak.Nodes(), Try::Again);
                 }
               }));
}

/// The searchers that such a request crashes, and the configuration.
std::shared_ptr<PoisonState>
PreparePoison(Soak& aSoak, Duration aCrashAfter)
{
  Json::Value plan = EmptyPlan(1);
  Json::Value find = RouteJson("find", "safe", seconds(2));
  find["Backend"] = "booking";
  plan["Routes"].append(find);
  Json::Value book = RouteJson("book", "unsafe", seconds(2));
  book["Backend"] = "booking";
  plan["Routes"].append(book);
  plan["Backends"].append(BackendJson("booking"));
  for (std::size_t i = 0; i < kFindSearchers; ++i) {
    EntrySearcher& searcher =
      aSoak.AddSearcher("i-booking-" + std::to_string(i + 1),
                        "booking",
                        i % 2 == 0 ? "zone-a" : "zone-b");
    searcher.SetWork(kFindWork);
    if (aSoak.HasTrouble()) {
      searcher.SetCrashes(kCrashMarker, aCrashAfter, seconds(3));
    }
  }
  std::shared_ptr<PoisonState> state = std::make_shared<PoisonState>();
  if (aSoak.HasTrouble()) {
    aSoak.SetRun(
      [&aSoak, state](const std::string& aId, const Request& aRequest) {
        if (aRequest.mPath == kPoisonPath) {
          OnPoisonArrival(aSoak, state.get(), aId);
        }
      });
  }
  aSoak.Put("op/config", CompactJson(plan));
  return state;
}

void
Poison(Soak& aSoak)
{
  const std::shared_ptr<PoisonState> state = PreparePoison(aSoak, Duration(0));
  aSoak.WhenReady([&aSoak, state]() {
    state->mCalmFrom = aSoak.Loop().Now() + seconds(20);
    aSoak.After(seconds(5), [&aSoak]() {
      Repeat(aSoak,
             kPoisonInterval,
             static_cast<std::size_t>(kPoisonTime / kPoisonInterval),
             [&aSoak](std::size_t aNumber) {
               SendPoison(aSoak, aNumber % aSoak.Nodes(), Try::First);
             });
      Repeat(aSoak,
             kBookingInterval,
             static_cast<std::size_t>(kPoisonTime / kBookingInterval),
             [&aSoak](std::size_t aNumber) {
               const std::string number = std::to_string(aNumber);
               static_cast<void>(aSoak.Send(aNumber % aSoak.Nodes(),
                                            "POST",
                                            "/book/" + number,
                                            seconds(2),
                                            "booking " + number,
                                            {}));
             });
    });
    aSoak.After(seconds(5) + kPoisonTime + seconds(4), [&aSoak, state]() {
      std::printf("crashes: %zu, requests that came through late: %zu\n",
                  state->mCrashes,
                  state->mLate.size());
      ReportLost(aSoak, state->mCalmFrom);
      aSoak.End();
    });
  });
}

// Case foreign: a searcher adds bytes to answers that have no content.

constexpr double kGarbledShare = 0.04;
constexpr std::size_t kGarbledSearchers = 6;
constexpr std::size_t kGarbledEach = 2;
constexpr std::size_t kForeignRequests = 600;

/// One consumer with a kept connection to one node.
struct ForeignConsumer
{
  std::size_t mNode = 0;
  std::unique_ptr<Callers> mConnection;
  std::string mLast = "none";
};

void
SendForeign(Soak& aSoak,
            const std::shared_ptr<ForeignConsumer>& aConsumer,
            std::size_t aNumber)
{
  ForeignConsumer& consumer = *aConsumer;
  if (!consumer.mConnection || consumer.mConnection->HasEnded()) {
    consumer.mConnection = std::make_unique<Callers>(
      aSoak.Loop(),
      aSoak.NodeAddress(consumer.mNode),
      [&aSoak, aConsumer](const std::string& aBytes) {
        aSoak.Broken("bytes that answer no request, on a connection to node " +
                     std::to_string(aConsumer->mNode + 1) + " after " +
                     aConsumer->mLast + ": " + aBytes);
      });
  }
  if (!consumer.mConnection->IsReady()) {
    return;
  }
  const std::string id = "q" + std::to_string(aNumber);
  consumer.mLast = id;
  aSoak.Record("sent " + id + " to node " + std::to_string(consumer.mNode + 1));
  const std::string body = "booking " + std::to_string(aNumber);
  consumer.mConnection->Send(
    "POST /book/" + std::to_string(aNumber) +
      " HTTP/1.1\r\nHost: " + Soak::kHost + "\r\nRequest-Id: " + id +
      "\r\nDeadline-Ms: 2000\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body,
    [&aSoak, id](const Callers::Answer& aAnswer) {
      aSoak.Record("answered " + id + ": " + std::to_string(aAnswer.mStatus));
      if (aAnswer.mHead.find(id + "\r\n") == std::string::npos) {
        aSoak.Broken(id + " got the answer to another request");
      }
    });
}

void
Foreign(Soak& aSoak)
{
  Json::Value plan = EmptyPlan(1);
  Json::Value route = RouteJson("book", "unsafe", seconds(2));
  route["Backend"] = "booking";
  plan["Routes"].append(route);
  plan["Backends"].append(BackendJson("booking"));
  for (std::size_t i = 0; i < kGarbledSearchers; ++i) {
    EntrySearcher& searcher = aSoak.AddSearcher(
      "i-booking-" + std::to_string(i + 1), "booking", "zone-a");
    const bool garbles = aSoak.HasTrouble() && i < kGarbledEach;
    searcher.SetAnswers(
      [garbles, number = std::make_shared<std::size_t>(0)](const std::string&) {
        const auto garbled = [](std::size_t aCount) {
          return static_cast<std::size_t>(static_cast<double>(aCount) *
                                          kGarbledShare);
        };
        ++*number;
        return garbles && garbled(*number) > garbled(*number - 1)
                 ? Answer::NoContentAndMore
                 : Answer::NoContent;
      });
  }
  aSoak.Put("op/config", CompactJson(plan));
  aSoak.WhenReady([&aSoak]() {
    std::vector<std::shared_ptr<ForeignConsumer>> consumers;
    for (std::size_t node = 0; node < aSoak.Nodes(); ++node) {
      consumers.push_back(std::make_shared<ForeignConsumer>());
      consumers.back()->mNode = node;
    }
    Repeat(aSoak,
           kBookingInterval,
           kForeignRequests,
           [&aSoak, consumers](std::size_t aNumber) {
             SendForeign(aSoak, consumers[aNumber % consumers.size()], aNumber);
           });
    aSoak.After(kBookingInterval * kForeignRequests + seconds(3),
                [&aSoak]() { aSoak.End(); });
  });
}

// Case leaving: the same, but the consumer leaves before the searcher crashes.

constexpr Duration kLeaveAfter = milliseconds(100);
constexpr Duration kCrashAfter = milliseconds(150);
constexpr Duration kLeavingInterval = milliseconds(300);
constexpr std::size_t kLeavingRequests = 27;

void
EndPoison(Soak& aSoak, const PoisonState& aState)
{
  std::printf("runs: %zu, requests that came through late: %zu\n",
              aState.mCrashes,
              aState.mLate.size());
  ReportLost(aSoak, aState.mCalmFrom);
  aSoak.End();
}

void
Leaving(Soak& aSoak)
{
  const std::shared_ptr<PoisonState> state = PreparePoison(aSoak, kCrashAfter);
  aSoak.WhenReady([&aSoak, state]() {
    aSoak.After(seconds(5), [&aSoak, state]() {
      state->mCalmFrom = aSoak.Loop().Now();
      Repeat(aSoak,
             kLeavingInterval,
             kLeavingRequests,
             [&aSoak](std::size_t aNumber) {
               aSoak.SendAndLeave(
                 aNumber % aSoak.Nodes(), kPoisonPath, seconds(2), kLeaveAfter);
             });
      Repeat(aSoak,
             kBookingInterval,
             static_cast<std::size_t>(kLeavingInterval / kBookingInterval) *
               kLeavingRequests,
             [&aSoak](std::size_t aNumber) {
               const std::string number = std::to_string(aNumber);
               static_cast<void>(aSoak.Send(aNumber % aSoak.Nodes(),
                                            "POST",
                                            "/book/" + number,
                                            seconds(2),
                                            "booking " + number,
                                            {}));
             });
    });
    aSoak.After(seconds(5) + kLeavingInterval * kLeavingRequests + seconds(4),
                [&aSoak, state]() { EndPoison(aSoak, *state); });
  });
}

// Case forgotten: all nodes are killed at once after they knew the request.

constexpr Duration kPoisonBurst = seconds(2);

void
SendPoisonBurst(Soak& aSoak)
{
  Repeat(aSoak,
         kPoisonInterval,
         static_cast<std::size_t>(kPoisonBurst / kPoisonInterval),
         [&aSoak](std::size_t aNumber) {
           SendPoison(aSoak, aNumber % aSoak.Nodes(), Try::First);
         });
}

void
Forgotten(Soak& aSoak)
{
  const std::shared_ptr<PoisonState> state = PreparePoison(aSoak, Duration(0));
  aSoak.WhenReady([&aSoak, state]() {
    aSoak.After(seconds(5), [&aSoak]() { SendPoisonBurst(aSoak); });
    aSoak.After(seconds(9), [&aSoak]() {
      for (std::size_t node = 1; node <= aSoak.Nodes(); ++node) {
        std::printf("signal %zu KILL\n", node);
      }
    });
    aSoak.After(seconds(10), [&aSoak]() {
      for (std::size_t node = 1; node <= aSoak.Nodes(); ++node) {
        std::printf("start %zu\n", node);
      }
    });
    // All machines are in touch again ContactMs after their start.
    aSoak.After(seconds(16), [&aSoak]() { SendPoisonBurst(aSoak); });
    aSoak.After(seconds(22), [&aSoak, state]() { EndPoison(aSoak, *state); });
  });
}

// Case lost: searchers run requests and their answers are lost.

void
Lost(Soak& aSoak)
{
  Json::Value plan = EmptyPlan(1);
  Json::Value route = RouteJson("book", "unsafe", seconds(2));
  route["Backend"] = "booking";
  plan["Routes"].append(route);
  plan["Backends"].append(BackendJson("booking"));
  for (std::size_t i = 0; i < kBookingSearchers; ++i) {
    EntrySearcher& searcher = aSoak.AddSearcher(
      "i-booking-" + std::to_string(i + 1), "booking", "zone-a");
    if (aSoak.HasTrouble() && i % 2 == 0) {
      searcher.SetAnswers(
        [number = std::make_shared<std::size_t>(0)](const std::string&) {
          constexpr std::size_t kLostOf = 8;
          return ++*number % kLostOf == 0 ? Answer::Silence : Answer::Success;
        });
    }
  }
  aSoak.Put("op/config", CompactJson(plan));
  aSoak.WhenReady([&aSoak]() {
    const std::shared_ptr<BookingRuns> runs = std::make_shared<BookingRuns>();
    Repeat(
      aSoak, kBookingInterval, kBookings, [&aSoak, runs](std::size_t aNumber) {
        SendBooking(aSoak, aNumber, Try::First, runs);
      });
    aSoak.After(kBookingInterval * kBookings + seconds(4), [&aSoak]() {
      std::size_t unanswered = 0;
      for (const auto& [id, request] : aSoak.Requests()) {
        unanswered += request.mStatus != kOk ? 1 : 0;
        if (request.mRuns.size() > 1) {
          aSoak.Broken(id + " ran more than once");
        }
      }
      std::printf("bookings without a success: %zu\n", unanswered);
      aSoak.End();
    });
  });
}

// Case gathered: a query over shards that crashes all searchers that run it.

constexpr std::size_t kGatheredShards = 6;
constexpr Duration kGatheredInterval = milliseconds(300);
constexpr std::size_t kGatheredRequests = 60;

void
Gathered(Soak& aSoak)
{
  Json::Value plan = EmptyPlan(1);
  Json::Value find = RouteJson("find", "safe", seconds(2));
  find["TopK"] = 5;
  find["MinCoverage"] = 0.89;
  const std::shared_ptr<PoisonState> state = std::make_shared<PoisonState>();
  for (std::size_t shard = 0; shard < kGatheredShards; ++shard) {
    const std::string service = ShardName(shard);
    find["Gather"].append(service);
    plan["Backends"].append(BackendJson(service));
    for (const char* zone : { "zone-a", "zone-b" }) {
      EntrySearcher& searcher =
        aSoak.AddSearcher("i-" + service + "-" + zone, service, zone);
      if (aSoak.HasTrouble()) {
        searcher.SetCrashes(kCrashMarker, Duration(0), seconds(3));
      }
    }
  }
  plan["Routes"].append(find);
  aSoak.SetRun(
    [&aSoak, state](const std::string& aId, const Request& aRequest) {
      if (aRequest.mPath == kPoisonPath && aSoak.HasTrouble()) {
        OnPoisonArrival(aSoak, state.get(), aId);
      }
    });
  aSoak.Put("op/config", CompactJson(plan));
  aSoak.WhenReady([&aSoak, state]() {
    aSoak.After(seconds(5), [&aSoak]() {
      Repeat(aSoak,
             kGatheredInterval,
             kGatheredRequests,
             [&aSoak](std::size_t aNumber) {
               SendPoison(aSoak, aNumber % aSoak.Nodes(), Try::First);
             });
    });
    aSoak.After(seconds(8) + kGatheredInterval * kGatheredRequests,
                [&aSoak, state]() { EndPoison(aSoak, *state); });
  });
}

// Case stopped: nodes are stopped in turn under load, beside a searcher that
// drains and nodes that are killed and started again.

constexpr Duration kStoppedWork = milliseconds(300);
constexpr Duration kStoppedInterval = milliseconds(20);
constexpr std::size_t kStoppedRequests = 1500;
constexpr Duration kKeepsAddress = milliseconds(2500);
constexpr Duration kDrain = milliseconds(3000);

void
StopNodes(Soak& aSoak, const std::shared_ptr<std::set<std::size_t>>& aAvoided)
{
  for (std::size_t i = 0; i < 2; ++i) {
    const Duration at = seconds(2) + static_cast<Duration::rep>(i) * seconds(9);
    aSoak.After(at, [i]() { std::printf("signal %zu TERM\n", i + 1); });
    // Consumers keep an address for as long as the directory says, or longer.
    aSoak.After(at + kKeepsAddress, [aAvoided, i]() { aAvoided->insert(i); });
    aSoak.After(at + seconds(7), [i]() { std::printf("start %zu\n", i + 1); });
    aSoak.After(at + seconds(8), [aAvoided, i]() { aAvoided->erase(i); });
  }
  // The third one is killed while a searcher drains.
  aSoak.After(milliseconds(21500), [aAvoided]() {
    aAvoided->insert(2);
    std::printf("signal 3 KILL\n");
  });
  aSoak.After(milliseconds(22500), []() { std::printf("start 3\n"); });
  aSoak.After(milliseconds(23500), [aAvoided]() { aAvoided->erase(2); });
}

void
Stopped(Soak& aSoak)
{
  Json::Value plan = EmptyPlan(1);
  Json::Value route = RouteJson("book", "unsafe", seconds(2));
  route["Backend"] = "booking";
  plan["Routes"].append(route);
  plan["Backends"].append(BackendJson("booking"));
  EntrySearcher* leaving = nullptr;
  for (std::size_t i = 0; i < kBookingSearchers; ++i) {
    EntrySearcher& searcher = aSoak.AddSearcher(
      "i-booking-" + std::to_string(i + 1), "booking", "zone-a");
    searcher.SetWork(kStoppedWork);
    leaving = &searcher;
  }
  const std::shared_ptr<Instant> drained = std::make_shared<Instant>();
  aSoak.SetArrived([&aSoak, drained, leaving](const Request&,
                                              EntrySearcher* aSearcher) {
    const bool isLate =
      *drained != Instant() && aSoak.Loop().Now() - *drained > kDrain;
    if (aSearcher == leaving && isLate) {
      aSoak.Broken("a request reached a draining searcher later than DrainMs");
    }
  });
  aSoak.Put("op/config", CompactJson(plan));
  aSoak.WhenReady([&aSoak, drained, leaving]() {
    const auto avoided = std::make_shared<std::set<std::size_t>>();
    if (aSoak.HasTrouble()) {
      StopNodes(aSoak, avoided);
    }
    aSoak.After(seconds(21), [&aSoak, drained, leaving]() {
      leaving->Tell("draining");
      *drained = aSoak.Loop().Now();
    });
    Repeat(aSoak,
           kStoppedInterval,
           kStoppedRequests,
           [&aSoak, avoided](std::size_t aNumber) {
             std::size_t node = aNumber % aSoak.Nodes();
             while (avoided->contains(node)) {
               node = (node + 1) % aSoak.Nodes();
             }
             const std::string number = std::to_string(aNumber);
             static_cast<void>(aSoak.Send(
               node,
               "POST",
               "/book/" + number,
               seconds(2),
               "booking " + number,
               [&aSoak](const std::string& aId, const Request& aSent) {
                 const bool wasKilled =
                   aSent.mNode == 2 && aSoak.HasTrouble() &&
                   aSoak.Loop().Now() - aSent.mSent < milliseconds(400);
                 if (aSent.mStatus == 0 && !aSent.mRuns.empty() && !wasKilled) {
                   aSoak.Broken(aId + " was passed on and cut");
                 }
               }));
           });
    aSoak.After(seconds(34), [&aSoak]() {
      std::map<int, std::size_t> answers;
      for (const auto& [id, request] : aSoak.Requests()) {
        ++answers[request.mStatus];
      }
      for (const auto& [status, count] : answers) {
        std::printf("answers %d: %zu\n", status, count);
      }
      aSoak.End();
    });
  });
}

} // namespace

const std::map<std::string, std::function<void(Soak&)>>&
Cases()
{
  static const std::map<std::string, std::function<void(Soak&)>> kCases = {
    { "storm", Storm },         { "refused", Refused },
    { "cold", Cold },           { "poison", Poison },
    { "foreign", Foreign },     { "leaving", Leaving },
    { "forgotten", Forgotten }, { "lost", Lost },
    { "gathered", Gathered },   { "stopped", Stopped },
  };
  return kCases;
}

} // namespace verbenachute::review
