#include <LibJson/JsonText.h>

#include <json/reader.h>
#include <json/writer.h>
#include <memory>
#include <sstream>

namespace verbenachute {

namespace {

constexpr int kNestingLimit = 32;

Error
InvalidJson(const std::string& aMessage)
{
  return Error{ Step::Parse, ErrorCode::InvalidInput, "", aMessage };
}

Json::CharReaderBuilder
StrictReaderBuilder()
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kNestingLimit;
  return builder;
}

std::unique_ptr<Json::StreamWriter>
CreateWriter(const char* aIndentation)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = aIndentation;
  builder["emitUTF8"] = true;
  return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
}

std::string
WriteToString(Json::StreamWriter* aWriter, const Json::Value& aValue)
{
  std::ostringstream stream;
  aWriter->write(aValue, &stream);
  return stream.str();
}

} // namespace

Result<Json::Value>
ParseJson(std::string_view aText, std::size_t aMaximumBytes)
{
  if (aText.size() > aMaximumBytes) {
    return Error{ Step::Parse,
                  ErrorCode::TooLarge,
                  "",
                  "the JSON text is longer than " +
                    std::to_string(aMaximumBytes) + " bytes" };
  }
  const std::unique_ptr<Json::CharReader> reader(
    StrictReaderBuilder().newCharReader());
  Json::Value value;
  std::string parseErrors;
  // JsonCpp throws an exception at the nesting limit and reports all other
  // errors by its return value.
  try {
    const bool parsed = reader->parse(
      aText.data(), aText.data() + aText.size(), &value, &parseErrors);
    return parsed ? Result<Json::Value>(std::move(value))
                  : InvalidJson("the text is no JSON: " + parseErrors);
  } catch (const Json::Exception& exception) {
    return InvalidJson(std::string("the text is no JSON: ") + exception.what());
  }
}

std::string
CompactJson(const Json::Value& aValue)
{
  // Creating a writer costs more than writing an entry of the configuration, so
  // one writer is reused.
  static const std::unique_ptr<Json::StreamWriter> kWriter = CreateWriter("");
  return WriteToString(kWriter.get(), aValue);
}

std::string
IndentedJson(const Json::Value& aValue)
{
  return WriteToString(CreateWriter("  ").get(), aValue);
}

} // namespace verbenachute
