#pragma once

#include <LibHttp/HttpFields.h>

#include <memory>
#include <string>
#include <string_view>

namespace verbenachute {

/// A text that several messages contain without copies of their own.
using SharedText = std::shared_ptr<const std::string>;

/// Serializes a request. Content-Length is added unless the body is empty and
/// the method is GET or HEAD; it must not be in aFields.
[[nodiscard]] std::string
SerializeRequest(std::string_view aMethod,
                 std::string_view aTarget,
                 const HttpFields& aFields,
                 std::string_view aBody);

/// Serializes the start line of a request and its first fields;
/// SerializeRequestEnd returns what has to follow.
[[nodiscard]] std::string
SerializeRequestStart(std::string_view aMethod,
                      std::string_view aTarget,
                      const HttpFields& aFields);

/// Serializes the last fields of a request with a body of aBodyBytes, up to the
/// body. Content-Length is added as for SerializeRequest.
[[nodiscard]] std::string
SerializeRequestEnd(std::string_view aMethod,
                    const HttpFields& aFields,
                    std::size_t aBodyBytes);

/// Whether the connection stays open after a response.
enum class AfterResponse
{
  KeepOpen,
  Close,
};

/// Whether a response with the status ends with its head, whatever its fields
/// say (RFC 9110, sections 15.2, 15.3.5 and 15.4.5).
[[nodiscard]] bool
HasNoBody(int aStatus);

/// Serializes a response. Content-Length and Connection are added here and must
/// not be in aFields. The body is left out if the status allows none.
[[nodiscard]] std::string
SerializeResponse(int aStatus,
                  const HttpFields& aFields,
                  std::string_view aBody,
                  AfterResponse aAfter);

/// Serializes the part of a response that precedes a body of aBodyBytes. Fields
/// are added as for SerializeResponse.
[[nodiscard]] std::string
SerializeResponseHead(int aStatus,
                      const HttpFields& aFields,
                      std::size_t aBodyBytes,
                      AfterResponse aAfter);

/// The reason phrase of a status, such as "Service Unavailable" for 503;
/// "Status" if it has none.
[[nodiscard]] const char*
ReasonPhrase(int aStatus);

/// The decoded value of a parameter in the query of a request target; empty if
/// the parameter is absent or has no value.
[[nodiscard]] std::string
QueryParameter(std::string_view aTarget, std::string_view aName);

/// Percent-encodes a text for a query: all but the unreserved characters and
/// '/'.
[[nodiscard]] std::string
PercentEncode(std::string_view aText);

} // namespace verbenachute
