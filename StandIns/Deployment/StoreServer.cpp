#include "StoreServer.h"

#include <LibJson/JsonText.h>

#include <absl/strings/escaping.h>

#include <cstdlib>
#include <utility>

namespace verbenachute::standins {

namespace {

constexpr Duration kTick = milliseconds(5);
constexpr std::size_t kPage = 50;
constexpr std::size_t kMaximumBodyBytes = 4UL * 1024 * 1024;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kHistoryGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kRefused = 503;
constexpr int kDecimal = 10;

std::uint64_t
NumberIn(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, kDecimal);
}

std::uint64_t
Parameter(const HttpCall& aCall, const char* aName)
{
  return NumberIn(QueryParameter(aCall.mTarget, aName));
}

Json::Value
ItemJson(const std::string& aKey, const StoreModel::Item& aItem)
{
  Json::Value item(Json::objectValue);
  item["Key"] = aKey;
  item["Value"] = absl::Base64Escape(aItem.mValue);
  item["Revision"] = Json::UInt64(aItem.mRevision);
  item["CreatedRev"] = Json::UInt64(aItem.mCreated);
  item["Lease"] = Json::UInt64(aItem.mLease);
  return item;
}

bool
IsOperators(const std::string& aKey)
{
  return aKey.starts_with("op/") || aKey.starts_with("servers/");
}

} // namespace

Result<std::unique_ptr<StoreServer>>
StoreServer::Create(EventLoop& aLoop,
                    const SocketAddress& aAddress,
                    StoreModel& aModel)
{
  std::unique_ptr<StoreServer> server(new StoreServer(aLoop, aModel));
  ServerLimits limits;
  limits.mMessage.mBodyBytes = kMaximumBodyBytes;
  limits.mIdleTimeout = seconds(60);
  Result<std::unique_ptr<HttpListener>> listener = HttpListener::Create(
    aLoop, aAddress, limits, [self = server.get()](const CallPointer& aCall) {
      self->Handle(aCall);
    });
  if (IsError(listener)) {
    return ErrorOf(listener);
  }
  server->mListener = ReleaseValue(std::move(listener));
  return server;
}

StoreServer::StoreServer(EventLoop& aLoop, StoreModel& aModel)
  : mLoop(aLoop)
  , mModel(aModel)
  , mTimer(aLoop, [this]() { Tick(); })
{
  mTimer.Start(kTick);
}

void
StoreServer::SetFault(Fault aFault)
{
  mFault = aFault;
  if (aFault == Fault::Refusing || aFault == Fault::Silent) {
    CutWatches();
  }
}

void
StoreServer::CutWatches()
{
  for (const Watch& watch : mWatches) {
    mUnanswered.push_back(watch.mCall);
  }
  mWatches.clear();
}

void
StoreServer::Handle(const CallPointer& aCall)
{
  if (mDelay > Duration(0)) {
    mLate.emplace_back(mLoop.Now() + mDelay, aCall);
    return;
  }
  HandleNow(aCall);
}

void
StoreServer::HandleNow(const CallPointer& aCall)
{
  if (mFault == Fault::Silent) {
    mUnanswered.push_back(aCall);
    return;
  }
  if (mFault == Fault::Refusing) {
    Respond(aCall, kRefused, Json::Value(Json::objectValue));
    return;
  }
  using Handler = void (StoreServer::*)(const CallPointer&);
  static const std::map<std::string, Handler> kHandlers = {
    { "GET /kv-key", &StoreServer::ReadKey },
    { "GET /kv-range", &StoreServer::ReadRange },
    { "GET /kv-watch", &StoreServer::WaitForChanges },
    { "POST /kv-txn", &StoreServer::Transact },
    { "POST /kv-lease", &StoreServer::Grant },
  };
  const std::string path = aCall->mTarget.substr(0, aCall->mTarget.find('?'));
  const auto handler = kHandlers.find(aCall->mMethod + " " + path);
  if (handler != kHandlers.end()) {
    (this->*handler->second)(aCall);
    return;
  }
  const std::string number = path.substr(path.rfind('/') + 1);
  const bool renewed =
    path.starts_with("/kv-keep/")
      ? mModel.Renew(NumberIn(number), mLoop.Now())
      : path.starts_with("/kv-lease-end/") && mModel.End(NumberIn(number));
  Respond(aCall, renewed ? kOk : kNotFound, Json::Value(Json::objectValue));
}

void
StoreServer::ReadKey(const CallPointer& aCall)
{
  const std::string key = QueryParameter(aCall->mTarget, "Key");
  const StoreModel::Item* item = mModel.Find(key);
  Json::Value body(Json::objectValue);
  if (item != nullptr) {
    body = ItemJson(key, *item);
  }
  body["AtRev"] = Json::UInt64(mModel.Revision());
  Respond(aCall, item == nullptr ? kNotFound : kOk, body);
}

void
StoreServer::ReadRange(const CallPointer& aCall)
{
  const std::string prefix = QueryParameter(aCall->mTarget, "PathPrefix");
  const std::string after = QueryParameter(aCall->mTarget, "after");
  Json::Value body(Json::objectValue);
  body["items"] = Json::Value(Json::arrayValue);
  body["MorePages"] = false;
  body["AtRev"] = Json::UInt64(mModel.Revision());
  for (auto item = mModel.Items().upper_bound(after);
       item != mModel.Items().end();
       ++item) {
    if (!item->first.starts_with(prefix)) {
      continue;
    }
    if (body["items"].size() >= kPage) {
      body["MorePages"] = true;
      break;
    }
    body["items"].append(ItemJson(item->first, item->second));
  }
  Respond(aCall, kOk, body);
}

void
StoreServer::WaitForChanges(const CallPointer& aCall)
{
  const Instant now = mLoop.Now();
  const Watch watch{ aCall,
                     Parameter(*aCall, "after"),
                     now + milliseconds(Parameter(*aCall, "WaitMs")) };
  if (!Answered(watch, now)) {
    mWatches.push_back(watch);
  }
}

bool
StoreServer::Answered(const Watch& aWatch, Instant aNow)
{
  const std::optional<std::vector<StoreModel::Event>> events =
    mModel.Since(aWatch.mAfter);
  if (!events) {
    Respond(aWatch.mCall, kHistoryGone, Json::Value(Json::objectValue));
    return true;
  }
  if (events->empty() && aNow < aWatch.mEnd) {
    return false;
  }
  Json::Value body(Json::objectValue);
  body["AtRev"] = Json::UInt64(mModel.Revision());
  body["events"] = Json::Value(Json::arrayValue);
  for (const StoreModel::Event& event : *events) {
    Json::Value entry(Json::objectValue);
    if (event.mItem) {
      entry = ItemJson(event.mKey, *event.mItem);
    } else {
      entry["Key"] = event.mKey;
      entry["Revision"] = Json::UInt64(event.mRevision);
      entry["Removed"] = true;
    }
    body["events"].append(entry);
  }
  Respond(aWatch.mCall, kOk, body);
  return true;
}

void
StoreServer::Transact(const CallPointer& aCall)
{
  const Result<Json::Value> read = ParseJson(aCall->mBody, kMaximumBodyBytes);
  if (IsError(read)) {
    Respond(aCall, kBadRequest, Json::Value(Json::objectValue));
    return;
  }
  const Json::Value& body = ValueOf(read);
  std::vector<StoreModel::Row> rows;
  std::vector<StoreModel::Write> writes;
  std::vector<std::string> deletes;
  bool forbidden = false;
  for (const Json::Value& row : body["Precondition"]) {
    rows.push_back({ row["Key"].asString(), row["Revision"].asUInt64() });
  }
  for (const Json::Value& write : body["Writes"]) {
    std::string value;
    forbidden = forbidden || IsOperators(write["Key"].asString()) ||
                !absl::Base64Unescape(write["Value"].asString(), &value);
    writes.push_back(
      { write["Key"].asString(), value, write["Lease"].asUInt64() });
  }
  for (const Json::Value& key : body["Deletes"]) {
    forbidden = forbidden || IsOperators(key.asString());
    deletes.push_back(key.asString());
  }
  if (forbidden) {
    Respond(aCall, kForbidden, Json::Value(Json::objectValue));
    return;
  }
  const StoreModel::Outcome outcome = mModel.Transact(rows, writes, deletes);
  if (mFault == Fault::LosingAnswers) {
    mUnanswered.push_back(aCall);
    return;
  }
  Json::Value answer(Json::objectValue);
  answer["Revision"] = Json::UInt64(mModel.Revision());
  Respond(aCall,
          outcome == StoreModel::Outcome::Done           ? kOk
          : outcome == StoreModel::Outcome::UnknownLease ? kNotFound
                                                         : kPreconditionFailed,
          answer);
}

void
StoreServer::Grant(const CallPointer& aCall)
{
  const Result<Json::Value> read = ParseJson(aCall->mBody, kMaximumBodyBytes);
  if (IsError(read) || !ValueOf(read)["TtlMs"].isUInt64()) {
    Respond(aCall, kBadRequest, Json::Value(Json::objectValue));
    return;
  }
  const std::uint64_t life = ValueOf(read)["TtlMs"].asUInt64();
  Json::Value answer(Json::objectValue);
  answer["Lease"] = Json::UInt64(mModel.Grant(milliseconds(life), mLoop.Now()));
  answer["TtlMs"] = Json::UInt64(life);
  Respond(aCall, kOk, answer);
}

void
StoreServer::Tick()
{
  const Instant now = mLoop.Now();
  mModel.Expire(now);
  while (!mLate.empty() && mLate.front().first <= now) {
    const CallPointer call = mLate.front().second;
    mLate.pop_front();
    HandleNow(call);
  }
  for (auto watch = mWatches.begin(); watch != mWatches.end();) {
    watch = Answered(*watch, now) ? mWatches.erase(watch) : std::next(watch);
  }
  mTimer.Start(kTick);
}

void
StoreServer::Respond(const CallPointer& aCall,
                     int aStatus,
                     const Json::Value& aBody)
{
  HttpFields fields;
  fields.Add("Content-Type", "application/json");
  // A store that was never restored does not know the field.
  if (mModel.Era() > 0) {
    fields.Add("Store-Era", std::to_string(mModel.Era()));
  }
  aCall->Respond(aStatus, fields, CompactJson(aBody));
}

} // namespace verbenachute::standins
