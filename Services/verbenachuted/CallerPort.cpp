#include "CallerPort.h"

#include <LibCaller/QueryOutcomeWriter.h>
#include <LibCaller/QueryRequestParser.h>
#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>
#include <LibJson/JsonText.h>

#include <json/json.h>
#include <utility>

namespace verbenachute {

namespace {

constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;
constexpr std::size_t kMaximumCallerBytes = 128;

std::string
AddressAnswerBody(const AddressAnswer& aAnswer)
{
  Json::Value body;
  body["addresses"] = Json::arrayValue;
  for (const SocketAddress& address : aAnswer.mAddresses) {
    body["addresses"].append(SocketAddressText(address));
  }
  body["valid_for_ms"] = Json::Int64(
    std::chrono::duration_cast<milliseconds>(aAnswer.mValidFor).count());
  body["ticket"] = NodeIdentityText(aAnswer.mTicket);
  body["ticket_valid_for_ms"] = Json::Int64(
    std::chrono::duration_cast<milliseconds>(aAnswer.mTicketValidFor).count());
  return CompactJson(body);
}

} // namespace

const CallerPort::Route CallerPort::kRoutes[] = {
  { "/v1/query", HttpMethod::Post, &CallerPort::HandleQuery },
  { "/v1/addresses", HttpMethod::Get, &CallerPort::HandleAddresses },
  { "/metrics", HttpMethod::Get, &CallerPort::HandleMetrics },
  { "/healthz", HttpMethod::Get, &CallerPort::HandleHealth },
};

Result<std::unique_ptr<CallerPort>>
CallerPort::Create(const SocketAddress& aAddress, Dependencies aDependencies)
{
  Result<std::unique_ptr<HttpServer>> server =
    HttpServer::Create(aDependencies.mLoop, aAddress, HttpLimits());
  if (IsError(server)) {
    return ErrorOf(server);
  }
  std::unique_ptr<CallerPort> port(new CallerPort(std::move(aDependencies)));
  port->mServer = ReleaseValue(std::move(server));
  CallerPort* self = port.get();
  self->mServer->RequestArrived().connect(
    [self](const Exchange& aExchange) { self->Handle(aExchange); });
  return port;
}

CallerPort::CallerPort(Dependencies aDependencies)
  : mDependencies(std::move(aDependencies))
{
}

std::vector<RequestId>
CallerPort::InFlightCalls() const
{
  return std::vector<RequestId>(mInFlightCalls.begin(), mInFlightCalls.end());
}

void
CallerPort::Handle(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  for (const Route& route : kRoutes) {
    if (request.mPath != route.mPath) {
      continue;
    }
    if (request.mMethod != route.mMethod) {
      Error error{ Step::Parse,
                   ErrorCode::InvalidInput,
                   "",
                   "the path takes another method" };
      OutcomeText text = WriteQueryOutcome(
        QueryRefusal{ RequestId(), error, Execution::NotRun });
      aExchange->Reply(
        HttpReply{ kMethodNotAllowed, "application/json", text.mBody });
      return;
    }
    (this->*route.mHandler)(aExchange);
    return;
  }
  Refuse(aExchange,
         RequestId(),
         Error{ Step::Parse,
                ErrorCode::NotFound,
                "",
                "the path is unknown; see GET /v1/addresses and "
                "POST /v1/query" });
}

void
CallerPort::HandleAddresses(const Exchange& aExchange)
{
  const std::map<std::string, std::string>& parameters =
    aExchange->Request().mParameters;
  const auto caller = parameters.find("caller");
  if (caller == parameters.end() || parameters.size() != 1 ||
      caller->second.empty() || caller->second.size() > kMaximumCallerBytes) {
    Refuse(aExchange,
           RequestId(),
           Error{ Step::Parse,
                  ErrorCode::InvalidInput,
                  "",
                  "the one parameter 'caller' must have 1 to 128 bytes" });
    return;
  }
  const Result<AddressAnswer> answer =
    mDependencies.mAddresses.Answer(CallerId(caller->second),
                                    mDependencies.mMembership.Table(),
                                    mDependencies.mLoop.Now());
  if (IsError(answer)) {
    Refuse(aExchange, RequestId(), ErrorOf(answer));
    return;
  }
  mDependencies.mMetrics.Add(Counter::AddressAnswers);
  aExchange->Reply(
    HttpReply{ 200, "application/json", AddressAnswerBody(ValueOf(answer)) });
}

void
CallerPort::HandleQuery(const Exchange& aExchange)
{
  const Result<QueryRequest> request =
    ParseQueryRequest(aExchange->Request().mBody);
  if (IsError(request)) {
    mDependencies.mLogger.Log(
      LogEvent(EventNumber::CallerInputRefused).WithError(ErrorOf(request)));
    Refuse(aExchange, RequestId(), ErrorOf(request));
    return;
  }
  mDependencies.mMetrics.Add(Counter::QueriesReceived);
  RunQuery(aExchange, ValueOf(request));
}

void
CallerPort::HandleMetrics(const Exchange& aExchange)
{
  aExchange->Reply(HttpReply{
    200, "text/plain; version=0.0.4", mDependencies.mMetrics.Exposition() });
}

void
CallerPort::HandleHealth(const Exchange& aExchange)
{
  const bool isServing = mDependencies.mMode() == ServingMode::Serving;
  aExchange->Reply(
    HttpReply{ isServing ? 200 : kUnavailable,
               "application/json",
               isServing ? R"({"serving":true})" : R"({"serving":false})" });
}

void
CallerPort::RunQuery(const Exchange& aExchange, const QueryRequest& aRequest)
{
  mInFlightCalls.insert(aRequest.mRequest);
  const Instant arrival = mDependencies.mLoop.Now();
  const QueryService::Done done =
    [this, aExchange, aRequest, arrival](const QueryOutcome& aOutcome) {
      Finish(aExchange, aRequest, arrival, aOutcome);
    };
  if (aRequest.mIdempotency == Idempotency::NonIdempotent) {
    mDependencies.mOnce.Submit(aRequest, done);
    return;
  }
  if (mDependencies.mMode() == ServingMode::Refusing) {
    done(QueryRefusal{ aRequest.mRequest,
                       Error{ Step::Shutdown,
                              ErrorCode::Draining,
                              "",
                              "the node leaves; ask for addresses again" },
                       Execution::NotRun });
    return;
  }
  const QueryId query = mDependencies.mQueries.Submit(aRequest, done);
  aExchange->CallerDisconnected().connect([this, query]() {
    mDependencies.mLogger.Log(LogEvent(EventNumber::CallerHungUp));
    mDependencies.mLoop.Defer(
      [this, query]() { mDependencies.mQueries.CallerDisconnected(query); });
  });
}

void
CallerPort::Finish(const Exchange& aExchange,
                   const QueryRequest& aRequest,
                   Instant aArrival,
                   const QueryOutcome& aOutcome)
{
  mInFlightCalls.erase(mInFlightCalls.find(aRequest.mRequest));
  QueryOutcome outcome = aOutcome;
  if (QueryRefusal* refusal = std::get_if<QueryRefusal>(&outcome)) {
    refusal->mRequest = aRequest.mRequest;
    mDependencies.mMetrics.CountRefusal(refusal->mError, refusal->mExecution);
    if (refusal->mExecution == Execution::OutcomeUnknown) {
      mDependencies.mMetrics.Add(Counter::QueriesOutcomeUnknown);
    }
    mDependencies.mLogger.Log(
      LogEvent(EventNumber::QueryRefused).WithError(refusal->mError));
  } else {
    const QueryAnswer& answer = std::get<QueryAnswer>(outcome);
    // A wrong answer is worse than none, so an answer to another request ends
    // the process.
    VERIFY(answer.mRequest == aRequest.mRequest);
    mDependencies.mMetrics.Add(answer.mCoverage.mMissing.empty()
                                 ? Counter::QueriesComplete
                                 : Counter::QueriesPartial);
  }
  mDependencies.mMetrics.ObserveLatency(
    aRequest.mClass, aRequest.mCaller, mDependencies.mLoop.Now() - aArrival);
  const OutcomeText text = WriteQueryOutcome(outcome);
  aExchange->Reply(HttpReply{ text.mStatus, "application/json", text.mBody });
}

void
CallerPort::Refuse(const Exchange& aExchange,
                   const RequestId& aRequest,
                   const Error& aError)
{
  mDependencies.mMetrics.CountRefusal(aError, Execution::NotRun);
  const OutcomeText text =
    WriteQueryOutcome(QueryRefusal{ aRequest, aError, Execution::NotRun });
  aExchange->Reply(HttpReply{ text.mStatus, "application/json", text.mBody });
}

} // namespace verbenachute
