#pragma once

#include <LibHttp/HttpFields.h>

#include <string>
#include <string_view>

namespace verbenachute {

/// The bytes of a request: request line, fields, Content-Length where the
/// method or the body asks for one, and the body.
[[nodiscard]] std::string
RequestText(std::string_view aMethod,
            std::string_view aTarget,
            const HttpFields& aFields,
            std::string_view aBody);

/// Whether the connection goes on after a response.
enum class AfterResponse
{
  KeepOpen,
  Close,
};

/// The bytes of a response. Framing fields are written here and must not
/// stand in aFields.
[[nodiscard]] std::string
ResponseText(int aStatus,
             const HttpFields& aFields,
             std::string_view aBody,
             AfterResponse aAfter);

/// "Service Unavailable" for 503; "Status" for a number without a phrase.
[[nodiscard]] const char*
ReasonPhrase(int aStatus);

/// The value of a parameter in the query of a request target, decoded; empty
/// if it is absent.
[[nodiscard]] std::string
QueryParameter(std::string_view aTarget, std::string_view aName);

/// A text as it may stand in a query: all but unreserved characters encoded.
[[nodiscard]] std::string
QueryEncoded(std::string_view aText);

} // namespace verbenachute
