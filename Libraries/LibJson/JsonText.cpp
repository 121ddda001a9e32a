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
StrictReader()
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kNestingLimit;
  return builder;
}

std::unique_ptr<Json::StreamWriter>
NewWriter(const char* aIndentation)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = aIndentation;
  builder["emitUTF8"] = true;
  return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
}

std::string
Write(Json::StreamWriter* aWriter, const Json::Value& aValue)
{
  std::ostringstream stream;
  aWriter->write(aValue, &stream);
  return stream.str();
}

} // namespace

Result<Json::Value>
ParseJson(std::string_view aText, std::size_t aLimit)
{
  if (aText.size() > aLimit) {
    return Error{ Step::Parse,
                  ErrorCode::TooLarge,
                  "",
                  "the JSON text is longer than " + std::to_string(aLimit) +
                    " bytes" };
  }
  const std::unique_ptr<Json::CharReader> reader(
    StrictReader().newCharReader());
  Json::Value value;
  std::string faults;
  // The library throws at its nesting limit, and only there returns nothing.
  try {
    const bool parsed =
      reader->parse(aText.data(), aText.data() + aText.size(), &value, &faults);
    return parsed ? Result<Json::Value>(std::move(value))
                  : InvalidJson("the text is no JSON: " + faults);
  } catch (const Json::Exception& exception) {
    return InvalidJson(std::string("the text is no JSON: ") + exception.what());
  }
}

std::string
CompactJson(const Json::Value& aValue)
{
  // A writer costs more to make than an entry of the configuration to write.
  static const std::unique_ptr<Json::StreamWriter> kWriter = NewWriter("");
  return Write(kWriter.get(), aValue);
}

std::string
IndentedJson(const Json::Value& aValue)
{
  return Write(NewWriter("  ").get(), aValue);
}

} // namespace verbenachute
