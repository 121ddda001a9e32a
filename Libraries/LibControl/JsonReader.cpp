#include <LibControl/JsonReader.h>

#include <LibCore/SocketAddressText.h>

namespace verbenachute {

namespace {

[[noreturn]] void
Refuse(const char* aName, const char* aKind)
{
  throw MalformedControl(std::string("member '") + aName + "' is no " + aKind);
}

} // namespace

const Json::Value&
RequiredMember(const Json::Value& aObject, const char* aName)
{
  if (!aObject.isObject() || !aObject.isMember(aName)) {
    throw MalformedControl(std::string("member '") + aName + "' is absent");
  }
  return aObject[aName];
}

std::string
RequiredText(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = RequiredMember(aObject, aName);
  if (!value.isString()) {
    Refuse(aName, "string");
  }
  return value.asString();
}

std::uint64_t
RequiredNumber(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = RequiredMember(aObject, aName);
  if (!value.isUInt64()) {
    Refuse(aName, "whole number");
  }
  return value.asUInt64();
}

const Json::Value&
RequiredArray(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = RequiredMember(aObject, aName);
  if (!value.isArray()) {
    Refuse(aName, "array");
  }
  return value;
}

NodeIdentity
RequiredIdentity(const Json::Value& aObject, const char* aName)
{
  Result<NodeIdentity> identity =
    ParseNodeIdentity(RequiredText(aObject, aName));
  if (IsError(identity)) {
    Refuse(aName, "node identity");
  }
  return ReleaseValue(std::move(identity));
}

} // namespace verbenachute
