#include <LibObservation/BoostLogger.h>

#include <LibCore/Verify.h>

#include <absl/strings/str_format.h>
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_channel_logger.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <json/json.h>

#include <atomic>
#include <cmath>
#include <ctime>
#include <iostream>
#include <variant>

namespace verbenachute {

namespace {

namespace log = boost::log;
using Backend = log::sinks::text_ostream_backend;
using Frontend = log::sinks::synchronous_sink<Backend>;
using Source = log::sources::severity_channel_logger<Severity, std::uint64_t>;

std::string
FormatTime(UnixMilliseconds aTime)
{
  const std::time_t unixSeconds =
    std::chrono::duration_cast<seconds>(aTime).count();
  std::tm parts{};
  gmtime_r(&unixSeconds, &parts);
  return absl::StrFormat("%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                         parts.tm_year + 1900,
                         parts.tm_mon + 1,
                         parts.tm_mday,
                         parts.tm_hour,
                         parts.tm_min,
                         parts.tm_sec,
                         aTime.count() % 1000);
}

Json::Value
FieldToJson(const LogField& aField)
{
  if (const double* number = std::get_if<double>(&aField.mValue)) {
    // JSON can not represent infinity or NaN; they become null.
    return std::isfinite(*number) ? Json::Value(*number) : Json::Value();
  }
  if (const std::int64_t* number = std::get_if<std::int64_t>(&aField.mValue)) {
    return Json::Value(static_cast<Json::Int64>(*number));
  }
  return Json::Value(std::get<std::string>(aField.mValue));
}

std::string
FormatLine(const LogEvent& aEvent,
           const NodeName& aNode,
           UnixMilliseconds aTime)
{
  const EventDescription& description = DescriptionOf(aEvent.Number());
  Json::Value line(Json::objectValue);
  line["time"] = FormatTime(aTime);
  line["number"] = static_cast<Json::UInt>(aEvent.Number());
  line["event"] = description.mName;
  line["severity"] = SeverityName(description.mSeverity);
  line["node"] = aNode.value();
  line["step"] = aEvent.EventStep() ? StepName(*aEvent.EventStep()) : "";
  line["peer"] = aEvent.EventPeer();
  line["fields"] = Json::Value(Json::objectValue);
  for (const LogField& field : aEvent.Fields()) {
    line["fields"][field.mKey] = FieldToJson(field);
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, line);
}

// Boost.Log has a single core per process, so each logger has its own channel,
// by which its sink selects the records of the logger.
std::uint64_t
NextChannel()
{
  static std::atomic<std::uint64_t> sNext{ 1 };
  return sNext++;
}

} // namespace

class BoostLogger::Sink
{
public:
  Sink(std::ostream& aStream, Severity aMinimumSeverity)
    : mChannel(NextChannel())
    , mSource(log::keywords::channel = mChannel)
  {
    boost::shared_ptr<Backend> backend = boost::make_shared<Backend>();
    backend->add_stream(
      boost::shared_ptr<std::ostream>(&aStream, boost::null_deleter()));
    backend->auto_flush(true);
    mFrontend = boost::make_shared<Frontend>(backend);
    mFrontend->set_filter(
      log::expressions::attr<std::uint64_t>("Channel") == mChannel &&
      log::expressions::attr<Severity>("Severity") >= aMinimumSeverity);
    mFrontend->set_formatter(log::expressions::stream
                             << log::expressions::smessage);
    log::core::get()->add_sink(mFrontend);
  }

  ~Sink() { log::core::get()->remove_sink(mFrontend); }

  Sink(const Sink&) = delete;
  Sink& operator=(const Sink&) = delete;

  void Write(Severity aSeverity, const std::string& aLine)
  {
    BOOST_LOG_SEV(mSource, aSeverity) << aLine;
  }

private:
  std::uint64_t mChannel;
  Source mSource;
  boost::shared_ptr<Frontend> mFrontend;
};

BoostLogger::BoostLogger(Settings aSettings, const Clock& aClock)
  : BoostLogger(std::move(aSettings), aClock, std::cerr)
{
}

BoostLogger::BoostLogger(Settings aSettings,
                         const Clock& aClock,
                         std::ostream& aStream)
  : mSettings(std::move(aSettings))
  , mClock(aClock)
  , mSink(std::make_unique<Sink>(aStream, mSettings.mMinimumSeverity))
{
}

BoostLogger::~BoostLogger() = default;

void
BoostLogger::Log(const LogEvent& aEvent)
{
  if (DescriptionOf(aEvent.Number()).mSeverity < mSettings.mMinimumSeverity) {
    return;
  }
  ReportSuppressed();
  if (mLimiter.Decide(aEvent.Number(), aEvent.EventPeer(), mClock.Now()) ==
      EventRateLimiter::Decision::Write) {
    Write(aEvent);
  }
}

void
BoostLogger::ReportSuppressed()
{
  for (const EventRateLimiter::Suppressed& suppressed :
       mLimiter.EndWindows(mClock.Now())) {
    Write(LogEvent(EventNumber::EventsSuppressed)
            .Peer(suppressed.mPeer)
            .With("suppressed_number",
                  static_cast<std::uint16_t>(suppressed.mNumber))
            .With("suppressed_event", DescriptionOf(suppressed.mNumber).mName)
            .With("repeats", suppressed.mCount));
  }
}

void
BoostLogger::Write(const LogEvent& aEvent)
{
  mSink->Write(DescriptionOf(aEvent.Number()).mSeverity,
               FormatLine(aEvent, mSettings.mNode, mClock.WallTime()));
}

} // namespace verbenachute
