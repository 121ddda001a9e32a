#include <LibConfiguration/JsonObjectReader.h>

namespace verbenachute {

JsonObjectReader::JsonObjectReader(const Json::Value& aObject,
                                   std::string aWhat)
  : mObject(aObject)
  , mWhat(std::move(aWhat))
{
  if (!mObject.isObject()) {
    Fail("must be a JSON object");
  }
}

bool
JsonObjectReader::Has(const char* aField)
{
  return Find(aField) != nullptr;
}

std::string
JsonObjectReader::Text(const char* aField)
{
  const Json::Value* value = Require(aField);
  if (value && !value->isString()) {
    FailType(aField, "a string");
    return "";
  }
  return value ? value->asString() : "";
}

std::string
JsonObjectReader::TextOr(const char* aField, const char* aDefault)
{
  return Has(aField) ? Text(aField) : aDefault;
}

std::optional<std::string>
JsonObjectReader::OptionalText(const char* aField)
{
  return Has(aField) ? std::optional<std::string>(Text(aField)) : std::nullopt;
}

std::uint64_t
JsonObjectReader::Number(const char* aField)
{
  const Json::Value* value = Require(aField);
  // isUInt64 accepts a double such as 3.0, which is not written as an integer.
  const bool fits =
    value && value->isUInt64() && value->type() != Json::realValue;
  if (value && !fits) {
    FailType(aField, "a whole number of at least 0");
  }
  return fits ? value->asUInt64() : 0;
}

std::uint64_t
JsonObjectReader::NumberOr(const char* aField, std::uint64_t aDefault)
{
  return Has(aField) ? Number(aField) : aDefault;
}

bool
JsonObjectReader::FlagOr(const char* aField, bool aDefault)
{
  const Json::Value* value = Find(aField);
  if (!value) {
    return aDefault;
  }
  if (!value->isBool()) {
    FailType(aField, "true or false");
    return aDefault;
  }
  return value->asBool();
}

std::vector<std::string>
JsonObjectReader::Texts(const char* aField)
{
  std::vector<std::string> texts;
  if (!Require(aField)) {
    return texts;
  }
  for (const Json::Value* element : Elements(aField)) {
    if (!element->isString()) {
      FailType(aField, "an array of strings");
      return {};
    }
    texts.push_back(element->asString());
  }
  return texts;
}

std::vector<std::string>
JsonObjectReader::TextsOrNone(const char* aField)
{
  return Has(aField) ? Texts(aField) : std::vector<std::string>{};
}

std::vector<const Json::Value*>
JsonObjectReader::Elements(const char* aField)
{
  std::vector<const Json::Value*> elements;
  const Json::Value* value = Find(aField);
  if (!value) {
    return elements;
  }
  if (!value->isArray()) {
    FailType(aField, "an array");
    return elements;
  }
  elements.reserve(value->size());
  for (const Json::Value& element : *value) {
    elements.push_back(&element);
  }
  return elements;
}

const Json::Value&
JsonObjectReader::Any(const char* aField)
{
  const Json::Value* value = Find(aField);
  return value ? *value : Json::Value::nullSingleton();
}

Result<Success>
JsonObjectReader::Finish() const
{
  if (mFault) {
    return *mFault;
  }
  for (const std::string& name : mObject.getMemberNames()) {
    if (!mRead.contains(name)) {
      return Error{ Step::Parse,
                    ErrorCode::InvalidInput,
                    "",
                    mWhat + ": unknown field '" + name + "'" };
    }
  }
  return Success{};
}

const Json::Value*
JsonObjectReader::Find(const char* aField)
{
  mRead.insert(aField);
  if (mFault || !mObject.isMember(aField)) {
    return nullptr;
  }
  return &mObject[aField];
}

const Json::Value*
JsonObjectReader::Require(const char* aField)
{
  const Json::Value* value = Find(aField);
  if (!value) {
    Fail(std::string("field '") + aField + "' is missing");
  }
  return value;
}

void
JsonObjectReader::Fail(const std::string& aMessage)
{
  if (!mFault) {
    mFault = Error{
      Step::Parse, ErrorCode::InvalidInput, "", mWhat + ": " + aMessage
    };
  }
}

void
JsonObjectReader::FailType(const char* aField, const char* aType)
{
  Fail(std::string("field '") + aField + "' must be " + aType);
}

} // namespace verbenachute
