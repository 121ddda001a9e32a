#include <Common/JsonText.h>

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace verbenachute::standins {

namespace {

/// Digits that a decimal number keeps through a double and back.
constexpr int kSignificantDigits = 15;

} // namespace

std::string
JsonText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["precision"] = kSignificantDigits;
  return Json::writeString(builder, aValue);
}

std::optional<Json::Value>
ParseJsonObject(const std::string& aText)
{
  const std::unique_ptr<Json::CharReader> reader(
    Json::CharReaderBuilder().newCharReader());
  Json::Value value;
  if (!reader->parse(
        aText.data(), aText.data() + aText.size(), &value, nullptr) ||
      !value.isObject()) {
    return std::nullopt;
  }
  return value;
}

} // namespace verbenachute::standins
