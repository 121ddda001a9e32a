#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>

#include <json/json.h>

#include <stdexcept>

namespace verbenachute {

/// A control message that is not as its codec writes it. Thrown within the
/// codecs only and turned into an error by ReadMessage.
class MalformedControl : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// A member of an object; an absent member is malformed.
[[nodiscard]] const Json::Value&
RequiredMember(const Json::Value& aObject, const char* aName);
[[nodiscard]] std::string
RequiredText(const Json::Value& aObject, const char* aName);
[[nodiscard]] std::uint64_t
RequiredNumber(const Json::Value& aObject, const char* aName);
[[nodiscard]] const Json::Value&
RequiredArray(const Json::Value& aObject, const char* aName);
[[nodiscard]] NodeIdentity
RequiredIdentity(const Json::Value& aObject, const char* aName);

/// Calls a reader and gives what it throws as an InvalidInput error of the
/// step Parse.
template<typename Reader>
[[nodiscard]] auto
ReadMessage(const Json::Value& aValue, Reader aReader)
  -> Result<decltype(aReader(aValue))>
{
  try {
    return aReader(aValue);
  } catch (const std::exception& exception) {
    return Error{ Step::Parse, ErrorCode::InvalidInput, "", exception.what() };
  }
}

} // namespace verbenachute
