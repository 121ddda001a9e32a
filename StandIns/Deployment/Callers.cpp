#include "Callers.h"

#include <LibCore/SocketAddressText.h>
#include <LibHttp/HttpText.h>
#include <LibJson/JsonText.h>

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <variant>

namespace verbenachute::standins {

namespace {

constexpr Duration kPatience = milliseconds(600);
constexpr Duration kDirectoryTimeout = milliseconds(400);
/// A caller that hears nothing so long after its deadline hangs up.
constexpr Duration kAfterDeadline = milliseconds(700);
constexpr std::size_t kAnswerBytes = 1024UL * 1024;
constexpr unsigned kGatheredOfTen = 6;
constexpr unsigned kSingleOfTen = 8;

std::string
FieldOf(const HttpResponse& aResponse, const char* aName)
{
  const std::string* value = aResponse.mFields.Find(aName);
  return value == nullptr ? "" : *value;
}

/// The values of a list field, which may stand in several lines.
std::vector<std::string>
ListOf(const HttpResponse& aResponse, const char* aName)
{
  std::vector<std::string> values;
  for (const HttpField& field : aResponse.mFields.All()) {
    if (!FieldNamesEqual(field.mName, aName)) {
      continue;
    }
    std::string value;
    for (const char character : field.mValue + ",") {
      if (character == ',') {
        values.push_back(std::exchange(value, {}));
      } else if (character != ' ') {
        value.push_back(character);
      }
    }
  }
  return values;
}

CallerOutcome
OutcomeOf(const StreamOutcome& aOutcome)
{
  CallerOutcome outcome;
  const HttpResponse* response = std::get_if<HttpResponse>(&aOutcome);
  if (response == nullptr) {
    return outcome;
  }
  outcome.mStatus = response->mStatus;
  outcome.mSignature = FieldOf(*response, "Server-Stamp");
  outcome.mPartSignatures = ListOf(*response, "Part-Stamps");
  outcome.mMissing =
    std::strtoull(FieldOf(*response, "Missing-Parts").c_str(), nullptr, 10);
  outcome.mBody = response->mBody;
  return outcome;
}

} // namespace

struct Callers::Caller
{
  /// Uses its connections until they end, whatever the directory names.
  bool mKeepsConnections = false;
  std::vector<SocketAddress> mAddresses;
  Instant mValidUntil;
  bool mAsking = false;
  std::unique_ptr<HttpClientStream> mDirectory;
  std::map<SocketAddress, std::vector<std::shared_ptr<HttpClientStream>>>
    mStreams;
};

Callers::Callers(EventLoop& aLoop,
                 Promises& aPromises,
                 const Settings& aSettings)
  : mLoop(aLoop)
  , mPromises(aPromises)
  , mSettings(aSettings)
  , mRandom(static_cast<std::minstd_rand::result_type>(aSettings.mSeed))
  , mTimer(aLoop, [this]() { Arrive(); })
{
  for (std::size_t i = 0; i < aSettings.mCallers; ++i) {
    mCallers.push_back(std::make_shared<Caller>());
    mCallers.back()->mKeepsConnections = i % 2 == 1;
  }
}

Callers::~Callers() = default;

void
Callers::Start()
{
  Arrive();
}

void
Callers::Stop()
{
  mStopped = true;
  mTimer.Stop();
}

void
Callers::Arrive()
{
  if (mStopped) {
    return;
  }
  const std::shared_ptr<Caller>& caller = mCallers[mRandom() % mCallers.size()];
  if (mLoop.Now() >= caller->mValidUntil && !caller->mAsking) {
    AskDirectory(caller);
  }
  if (!caller->mAddresses.empty()) {
    Send(caller);
  }
  std::exponential_distribution<double> gap(mSettings.mRate);
  mTimer.Start(std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(gap(mRandom))));
}

void
Callers::AskDirectory(const std::shared_ptr<Caller>& aCaller)
{
  aCaller->mAsking = true;
  const NodeFacts& node = mSettings.mNodes[mRandom() % mSettings.mNodes.size()];
  const std::string& domain =
    mSettings.mDomains[mRandom() % mSettings.mDomains.size()];
  aCaller->mDirectory =
    std::make_unique<HttpClientStream>(mLoop, node.mDirectory, PeerTimeouts());
  HttpFields fields;
  fields.Add("Host", mSettings.mHost);
  HttpClientStream::Exchange exchange;
  exchange.mRequest =
    SerializeRequest("GET",
                     "/resolve?Name=" + mSettings.mHost +
                       "&Region=" + mSettings.mRegion + "&Zone=" + domain,
                     fields,
                     "");
  exchange.mTimeout = kDirectoryTimeout;
  aCaller->mDirectory->Send(std::move(exchange),
                            [this, aCaller](const StreamOutcome& aOutcome) {
                              OnAddresses(aCaller, aOutcome);
                            });
}

void
Callers::OnAddresses(const std::shared_ptr<Caller>& aCaller,
                     const StreamOutcome& aOutcome)
{
  aCaller->mAsking = false;
  const HttpResponse* response = std::get_if<HttpResponse>(&aOutcome);
  if (response == nullptr || response->mStatus != 200) {
    return;
  }
  const Result<Json::Value> body = ParseJson(response->mBody, kAnswerBytes);
  if (IsError(body)) {
    return;
  }
  std::vector<SocketAddress> addresses;
  for (const Json::Value& text : ValueOf(body)["addrs"]) {
    const Result<SocketAddress> address = ParseSocketAddress(text.asString());
    if (!IsError(address)) {
      addresses.push_back(ValueOf(address));
    }
  }
  if (addresses.empty()) {
    return;
  }
  aCaller->mAddresses = std::move(addresses);
  aCaller->mValidUntil =
    mLoop.Now() +
    std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(ValueOf(body)["ttl_s"].asDouble()));
  if (aCaller->mKeepsConnections) {
    return;
  }
  // Connections to addresses that are named no longer are not used again.
  std::erase_if(aCaller->mStreams, [&](const auto& aEntry) {
    return std::find(aCaller->mAddresses.begin(),
                     aCaller->mAddresses.end(),
                     aEntry.first) == aCaller->mAddresses.end();
  });
}

NodeName
Callers::NodeAt(const SocketAddress& aAddress) const
{
  for (const NodeFacts& node : mSettings.mNodes) {
    if (node.mCaller == aAddress) {
      return node.mName;
    }
  }
  return NodeName("unknown");
}

std::shared_ptr<HttpClientStream>
Callers::StreamTo(const std::shared_ptr<Caller>& aCaller,
                  const SocketAddress& aAddress)
{
  std::vector<std::shared_ptr<HttpClientStream>>& streams =
    aCaller->mStreams[aAddress];
  std::erase_if(streams, [](const std::shared_ptr<HttpClientStream>& aOne) {
    return aOne->IsBroken();
  });
  for (const std::shared_ptr<HttpClientStream>& stream : streams) {
    if (stream->IsReady()) {
      return stream;
    }
  }
  streams.push_back(
    std::make_shared<HttpClientStream>(mLoop, aAddress, PeerTimeouts()));
  return streams.back();
}

SocketAddress
Callers::ChooseAddress(const Caller& aCaller)
{
  std::vector<SocketAddress> addresses = aCaller.mAddresses;
  for (const auto& [address, streams] : aCaller.mStreams) {
    const bool isOpen =
      std::any_of(streams.begin(),
                  streams.end(),
                  [](const std::shared_ptr<HttpClientStream>& aStream) {
                    return aStream->IsReady();
                  });
    if (isOpen && std::find(addresses.begin(), addresses.end(), address) ==
                    addresses.end()) {
      addresses.push_back(address);
    }
  }
  return addresses[mRandom() % addresses.size()];
}

void
Callers::Send(const std::shared_ptr<Caller>& aCaller)
{
  const SocketAddress address = ChooseAddress(*aCaller);
  const unsigned draw = mRandom() % 10;
  const RequestKind kind = draw < kGatheredOfTen ? RequestKind::Gathered
                           : draw < kSingleOfTen ? RequestKind::Single
                                                 : RequestKind::Once;
  const RequestId id("q" + std::to_string(mSettings.mSeed) + "x" +
                     std::to_string(++mNumber));
  const bool crashes = std::uniform_real_distribution<double>(0, 1)(mRandom) <
                       mSettings.mCrashShare;
  const std::string path = kind == RequestKind::Gathered ? "/all/"
                           : kind == RequestKind::Single ? "/one/"
                                                         : "/once/";
  HttpFields fields;
  fields.Add("Host", mSettings.mHost);
  fields.Add("Request-Id", id.value());
  fields.Add("Deadline-Ms",
             std::to_string(
               std::chrono::duration_cast<milliseconds>(kPatience).count()));
  HttpClientStream::Exchange exchange;
  exchange.mRequest = SerializeRequest(
    kind == RequestKind::Once ? "POST" : "GET",
    path + (crashes ? "crash-marker"
                    : "segment-" + std::to_string(mRandom() % 1000)),
    fields,
    kind == RequestKind::Once ? "booking " + id.value() : "");
  exchange.mTimeout = kPatience + kAfterDeadline;
  mPromises.OnSent(id, kind, NodeAt(address), mLoop.Now());
  const std::shared_ptr<HttpClientStream> stream = StreamTo(aCaller, address);
  stream->Send(std::move(exchange),
               [this, id, stream](const StreamOutcome& aOutcome) {
                 mPromises.OnOutcome(id, OutcomeOf(aOutcome), mLoop.Now());
                 // The stream is what runs this.
                 mLoop.Defer([stream]() {});
               });
}

} // namespace verbenachute::standins
