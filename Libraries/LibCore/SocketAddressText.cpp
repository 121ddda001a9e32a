#include <LibCore/SocketAddressText.h>

#include <arpa/inet.h>
#include <charconv>

namespace verbenachute {

namespace {

Error
InvalidText(const char* aKind, std::string_view aText)
{
  return Error{ Step::Parse,
                ErrorCode::InvalidInput,
                "",
                std::string("'") + std::string(aText) + "' is no " + aKind };
}

template<typename Number>
bool
ParseNumber(std::string_view aText, Number* aNumber)
{
  const char* end = aText.data() + aText.size();
  const std::from_chars_result result =
    std::from_chars(aText.data(), end, *aNumber);
  return !aText.empty() && result.ec == std::errc() && result.ptr == end;
}

} // namespace

Result<SocketAddress>
ParseSocketAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return InvalidText("address of the form IP:PORT", aText);
  }
  SocketAddress address;
  address.mHost = std::string(aText.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, address.mHost.c_str(), &parsed) != 1) {
    return InvalidText("address of the form IP:PORT", aText);
  }
  if (!ParseNumber(aText.substr(colon + 1), &address.mPort) ||
      address.mPort == 0) {
    return InvalidText("address with a port from 1 to 65535", aText);
  }
  return address;
}

std::string
SocketAddressText(const SocketAddress& aAddress)
{
  return aAddress.mHost + ":" + std::to_string(aAddress.mPort);
}

std::string
NodeIdentityText(const NodeIdentity& aIdentity)
{
  return aIdentity.mName.value() + "@" +
         std::to_string(aIdentity.mIncarnation.value());
}

Result<NodeIdentity>
ParseNodeIdentity(std::string_view aText)
{
  const std::size_t at = aText.rfind('@');
  if (at == std::string_view::npos || at == 0) {
    return InvalidText("node identity of the form NAME@NUMBER", aText);
  }
  std::uint64_t incarnation = 0;
  if (!ParseNumber(aText.substr(at + 1), &incarnation)) {
    return InvalidText("node identity of the form NAME@NUMBER", aText);
  }
  return NodeIdentity{ NodeName(std::string(aText.substr(0, at))),
                       Incarnation(incarnation) };
}

} // namespace verbenachute
