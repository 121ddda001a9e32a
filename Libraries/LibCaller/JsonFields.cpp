#include <LibCaller/JsonFields.h>

#include <LibJson/JsonText.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

constexpr std::size_t kMaximumBodyBytes = 256UL * 1024;

} // namespace

JsonFields::JsonFields(std::string_view aText)
  : mObject(Json::objectValue)
{
  Result<Json::Value> parsed = ParseJson(aText, kMaximumBodyBytes);
  if (IsError(parsed)) {
    mProblem = ErrorOf(parsed);
    return;
  }
  Json::Value value = ReleaseValue(std::move(parsed));
  if (!value.isObject()) {
    Refuse("the body is no JSON object");
    return;
  }
  mObject = std::move(value);
}

void
JsonFields::AllowOnly(std::span<const char* const> aNames)
{
  for (const std::string& name : mObject.getMemberNames()) {
    if (std::find(aNames.begin(), aNames.end(), name) == aNames.end()) {
      Refuse("field '" + name + "' is unknown");
      return;
    }
  }
}

bool
JsonFields::Has(const char* aName) const
{
  return mObject.isMember(aName);
}

std::string
JsonFields::Text(const char* aName, std::size_t aMaximumBytes)
{
  const Json::Value& value = Field(aName);
  if (!value.isString()) {
    Refuse(std::string("field '") + aName + "' must be a string");
    return "";
  }
  std::string text = value.asString();
  if (text.empty() || text.size() > aMaximumBytes) {
    Refuse(std::string("field '") + aName + "' must have 1 to " +
           std::to_string(aMaximumBytes) + " bytes");
    return "";
  }
  return text;
}

std::uint64_t
JsonFields::Number(const char* aName,
                   std::uint64_t aMinimum,
                   std::uint64_t aMaximum)
{
  const Json::Value& value = Field(aName);
  if (!value.isUInt64() || value.asUInt64() < aMinimum ||
      value.asUInt64() > aMaximum) {
    Refuse(std::string("field '") + aName + "' must be a whole number from " +
           std::to_string(aMinimum) + " to " + std::to_string(aMaximum));
    return aMinimum;
  }
  return value.asUInt64();
}

bool
JsonFields::Truth(const char* aName)
{
  const Json::Value& value = Field(aName);
  if (!value.isBool()) {
    Refuse(std::string("field '") + aName + "' must be true or false");
    return false;
  }
  return value.asBool();
}

const std::optional<Error>&
JsonFields::Problem() const
{
  return mProblem;
}

const Json::Value&
JsonFields::Field(const char* aName) const
{
  // The constant form of the operator adds no member for an absent name.
  return mObject[aName];
}

void
JsonFields::Refuse(const std::string& aMessage)
{
  if (!mProblem.has_value()) {
    mProblem = Error{ Step::Parse, ErrorCode::InvalidInput, "", aMessage };
  }
}

} // namespace verbenachute
