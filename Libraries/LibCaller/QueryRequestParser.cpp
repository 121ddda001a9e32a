#include <LibCaller/QueryRequestParser.h>

#include <LibCaller/JsonFields.h>
#include <LibCore/SocketAddressText.h>

#include <json/json.h>

namespace verbenachute {

namespace {

constexpr std::size_t kMaximumNameBytes = 128;
constexpr std::size_t kMaximumQueryBytes = 64UL * 1024;
constexpr std::uint64_t kMaximumDeadlineMilliseconds = 60'000;
constexpr std::uint64_t kMaximumLimit = 1000;

constexpr const char* kKnownFields[] = {
  "caller",     "class", "service", "request_id", "deadline_ms",
  "idempotent", "query", "limit",   "ticket"
};

} // namespace

Result<QueryRequest>
ParseQueryRequest(std::string_view aBody)
{
  JsonFields fields(aBody);
  fields.AllowOnly(kKnownFields);
  QueryRequest request;
  request.mCaller = CallerId(fields.Text("caller", kMaximumNameBytes));
  request.mClass = CallerClass(fields.Text("class", kMaximumNameBytes));
  request.mService = ServiceName(fields.Text("service", kMaximumNameBytes));
  request.mRequest = RequestId(fields.Text("request_id", kMaximumNameBytes));
  request.mTimeLeft =
    milliseconds(fields.Number("deadline_ms", 1, kMaximumDeadlineMilliseconds));
  request.mIdempotency = fields.Truth("idempotent")
                           ? Idempotency::Idempotent
                           : Idempotency::NonIdempotent;
  request.mQuery = fields.Text("query", kMaximumQueryBytes);
  request.mLimit =
    static_cast<std::uint32_t>(fields.Number("limit", 1, kMaximumLimit));
  if (fields.Has("ticket")) {
    const Result<NodeIdentity> ticket =
      ParseNodeIdentity(fields.Text("ticket", kMaximumNameBytes));
    if (IsError(ticket)) {
      return ErrorOf(ticket);
    }
    request.mTicket = ValueOf(ticket);
  }
  if (fields.Problem().has_value()) {
    return *fields.Problem();
  }
  return request;
}

} // namespace verbenachute
