#include <LibHttp/HttpText.h>

#include <algorithm>
#include <cctype>
#include <http_parser.h>

namespace verbenachute {

namespace {

constexpr std::string_view kCrLf = "\r\n";

void
AppendFields(const HttpFields& aFields, std::string* aText)
{
  for (const HttpField& field : aFields.All()) {
    aText->append(field.mName).append(": ").append(field.mValue);
    aText->append(kCrLf);
  }
}

void
AppendContentLength(std::size_t aLength, std::string* aText)
{
  aText->append("Content-Length: ").append(std::to_string(aLength));
  aText->append(kCrLf);
}

int
HexValue(char aCharacter)
{
  if (aCharacter >= '0' && aCharacter <= '9') {
    return aCharacter - '0';
  }
  const char lower =
    static_cast<char>(std::tolower(static_cast<unsigned char>(aCharacter)));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string
PercentDecoded(std::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool escape = aText[i] == '%' && i + 2 < aText.size() &&
                        HexValue(aText[i + 1]) >= 0 &&
                        HexValue(aText[i + 2]) >= 0;
    if (escape) {
      text +=
        static_cast<char>(HexValue(aText[i + 1]) * 16 + HexValue(aText[i + 2]));
      i += 2;
    } else {
      text += aText[i] == '+' ? ' ' : aText[i];
    }
  }
  return text;
}

} // namespace

bool
HasNoBody(int aStatus)
{
  return aStatus < 200 || aStatus == 204 || aStatus == 304;
}

std::string
SerializeRequest(std::string_view aMethod,
                 std::string_view aTarget,
                 const HttpFields& aFields,
                 std::string_view aBody)
{
  std::string text = SerializeRequestStart(aMethod, aTarget, HttpFields());
  text.reserve(256 + aBody.size());
  text.append(SerializeRequestEnd(aMethod, aFields, aBody.size()));
  return text.append(aBody);
}

std::string
SerializeRequestStart(std::string_view aMethod,
                      std::string_view aTarget,
                      const HttpFields& aFields)
{
  std::string text;
  text.append(aMethod).append(" ").append(aTarget).append(" HTTP/1.1");
  text.append(kCrLf);
  AppendFields(aFields, &text);
  return text;
}

std::string
SerializeRequestEnd(std::string_view aMethod,
                    const HttpFields& aFields,
                    std::size_t aBodyBytes)
{
  std::string text;
  AppendFields(aFields, &text);
  if (aBodyBytes > 0 || (aMethod != "GET" && aMethod != "HEAD")) {
    AppendContentLength(aBodyBytes, &text);
  }
  return text.append(kCrLf);
}

std::string
SerializeResponse(int aStatus,
                  const HttpFields& aFields,
                  std::string_view aBody,
                  AfterResponse aAfter)
{
  std::string text =
    SerializeResponseHead(aStatus, aFields, aBody.size(), aAfter);
  if (!HasNoBody(aStatus)) {
    text.append(aBody);
  }
  return text;
}

std::string
SerializeResponseHead(int aStatus,
                      const HttpFields& aFields,
                      std::size_t aBodyBytes,
                      AfterResponse aAfter)
{
  std::string text;
  text.append("HTTP/1.1 ").append(std::to_string(aStatus)).append(" ");
  text.append(ReasonPhrase(aStatus)).append(kCrLf);
  AppendFields(aFields, &text);
  if (!HasNoBody(aStatus)) {
    AppendContentLength(aBodyBytes, &text);
  }
  if (aAfter == AfterResponse::Close) {
    text.append("Connection: close").append(kCrLf);
  }
  return text.append(kCrLf);
}

const char*
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
#define VERBENACHUTE_REASON(number, name, text)                                \
  case number:                                                                 \
    return #text;
    HTTP_STATUS_MAP(VERBENACHUTE_REASON)
#undef VERBENACHUTE_REASON
    default:
      return "Status";
  }
}

std::string
QueryParameter(std::string_view aTarget, std::string_view aName)
{
  const std::size_t queryMark = aTarget.find('?');
  std::size_t begin =
    queryMark == std::string_view::npos ? aTarget.size() : queryMark + 1;
  while (begin < aTarget.size()) {
    const std::size_t end = std::min(aTarget.find('&', begin), aTarget.size());
    const std::string_view pair = aTarget.substr(begin, end - begin);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == aName) {
      return PercentDecoded(pair.substr(std::min(equals + 1, pair.size())));
    }
    begin = end + 1;
  }
  return "";
}

std::string
PercentEncode(std::string_view aText)
{
  constexpr std::string_view kUnreserved = "-._~/";
  constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string text;
  for (const char character : aText) {
    const unsigned char byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 ||
        kUnreserved.find(character) != std::string_view::npos) {
      text += character;
    } else {
      text += '%';
      text += kHexDigits[byte / 16];
      text += kHexDigits[byte % 16];
    }
  }
  return text;
}

} // namespace verbenachute
