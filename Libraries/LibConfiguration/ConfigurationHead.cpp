#include <LibConfiguration/ConfigurationHead.h>

#include <LibConfiguration/ContentDigest.h>
#include <LibConfiguration/JsonObjectReader.h>
#include <LibJson/JsonText.h>

namespace verbenachute {

namespace {

constexpr std::uint64_t kFormat = 1;

Json::Value
HeadJson(const ConfigurationHead& aHead)
{
  Json::Value value;
  value["format"] = Json::UInt64(kFormat);
  value["revision"] = Json::UInt64(aHead.mRevision.value());
  value["parts"] = Json::Value(Json::arrayValue);
  for (const PartName& part : aHead.mParts) {
    value["parts"].append(part.Text());
  }
  value["retired"] = Json::Value(Json::arrayValue);
  for (const RetiredPart& retired : aHead.mRetired) {
    Json::Value entry;
    entry["part"] = retired.mName.Text();
    entry["since"] = Json::UInt64(retired.mSince.value());
    value["retired"].append(entry);
  }
  return value;
}

Error
DamagedHead(const char* aMessage)
{
  return Error{ Step::Configuration,
                ErrorCode::InvalidInput,
                "",
                std::string("configuration head: ") + aMessage };
}

Result<RetiredPart>
ReadRetired(const Json::Value& aValue)
{
  JsonObjectReader reader(aValue, "retired part");
  RetiredPart retired;
  retired.mName = reader.Take(PartName::Create(reader.Text("part")));
  retired.mSince = Revision(reader.Number("since"));
  Result<Success> finished = reader.Finish();
  return IsError(finished) ? Result<RetiredPart>(ErrorOf(finished))
                           : Result<RetiredPart>(retired);
}

} // namespace

std::string
ConfigurationHead::Text() const
{
  Json::Value value = HeadJson(*this);
  value["digest"] = ContentDigest(CompactJson(value));
  return CompactJson(value);
}

Result<ConfigurationHead>
ConfigurationHead::Create(std::string_view aText)
{
  const Result<Json::Value> parsed = ParseJson(aText, kStoreValueBytes);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  JsonObjectReader reader(ValueOf(parsed), "configuration head");
  ConfigurationHead head;
  const std::uint64_t format = reader.Number("format");
  head.mRevision = Revision(reader.Number("revision"));
  for (const std::string& part : reader.Texts("parts")) {
    head.mParts.push_back(reader.Take(PartName::Create(part)));
  }
  for (const Json::Value* retired : reader.Elements("retired")) {
    head.mRetired.push_back(reader.Take(ReadRetired(*retired)));
  }
  const std::string digest = reader.Text("digest");
  Result<Success> finished = reader.Finish();
  if (IsError(finished)) {
    return ErrorOf(finished);
  }
  if (format != kFormat) {
    return DamagedHead("unknown format");
  }
  if (digest != ContentDigest(CompactJson(HeadJson(head)))) {
    return DamagedHead("the digest does not fit");
  }
  return head;
}

} // namespace verbenachute
