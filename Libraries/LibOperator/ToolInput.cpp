#include <LibOperator/ToolInput.h>

#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>
#include <LibOperator/ToolFlagTable.h>
#include <LibSettings/SettingTable.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace verbenachute {

namespace {

constexpr std::string_view kPrefix = "VERBENACHUTE_";

std::string
LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(
    lower.begin(), lower.end(), lower.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return lower;
}

/// The daemon's variables share the prefix and may stand on the same VM.
bool
IsDaemonSetting(const std::string& aName)
{
  const std::span<const SettingDescription> table = SettingTable();
  return std::any_of(
    table.begin(), table.end(), [&aName](const SettingDescription& aSetting) {
      return aName == aSetting.mName;
    });
}

} // namespace

ToolInput::ToolInput(std::vector<std::string> aWords, Flags aFlags)
  : mWords(std::move(aWords))
  , mFlags(std::move(aFlags))
{
}

Result<ToolInput::Flags>
ToolInput::MergeFlags(const char* const* aEnvironment, const Flags& aGiven)
{
  Flags flags;
  for (const ToolFlag& flag : ToolFlagTable()) {
    flags[flag.mName] = flag.mDefault;
  }
  for (; *aEnvironment != nullptr; ++aEnvironment) {
    const std::string_view entry(*aEnvironment);
    if (!entry.starts_with(kPrefix)) {
      continue;
    }
    const std::size_t equals = std::min(entry.find('='), entry.size());
    const std::string name =
      LowerCase(entry.substr(kPrefix.size(), equals - kPrefix.size()));
    const auto known = flags.find(name);
    if (known != flags.end()) {
      known->second = entry.substr(std::min(equals + 1, entry.size()));
    } else if (!IsDaemonSetting(name)) {
      return Error{ Step::Settings,
                    ErrorCode::InvalidInput,
                    "",
                    "environment variable " +
                      std::string(entry.substr(0, equals)) + " names no flag" };
    }
  }
  for (const auto& [name, value] : aGiven) {
    flags[name] = value;
  }
  return flags;
}

std::string
ToolInput::Word(std::size_t aPosition) const
{
  return aPosition < mWords.size() ? mWords[aPosition] : "";
}

const std::string&
ToolInput::Text(const char* aFlag) const
{
  const auto found = mFlags.find(aFlag);
  VERIFY(found != mFlags.end());
  return found->second;
}

std::string
ToolInput::Required(const char* aFlag)
{
  if (Text(aFlag).empty()) {
    Fail(std::string("--") + aFlag + " must be given");
  }
  return Text(aFlag);
}

std::uint64_t
ToolInput::Number(const char* aFlag, std::uint64_t aLeast, std::uint64_t aMost)
{
  const std::string text = Text(aFlag);
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result result =
    std::from_chars(text.data(), end, number);
  if (text.empty() || result.ec != std::errc() || result.ptr != end ||
      number < aLeast || number > aMost) {
    Fail(std::string("--") + aFlag + " is '" + text +
         "' and must be a whole number from " + std::to_string(aLeast) +
         " to " + std::to_string(aMost));
    return aLeast;
  }
  return number;
}

bool
ToolInput::Flag(const char* aFlag)
{
  const std::string& text = Text(aFlag);
  if (text != "true" && text != "false") {
    Fail(std::string("--") + aFlag + " is '" + text +
         "' and must be true or false");
  }
  return text == "true";
}

SocketAddress
ToolInput::Address(const char* aFlag)
{
  const Result<SocketAddress> address = ParseSocketAddress(Required(aFlag));
  if (IsError(address)) {
    Fail(std::string("--") + aFlag + ": " + ErrorOf(address).mMessage);
    return {};
  }
  return ValueOf(address);
}

void
ToolInput::Set(const char* aFlag, std::string aText)
{
  mFlags[aFlag] = std::move(aText);
}

void
ToolInput::Fail(const std::string& aMessage)
{
  if (mFault.empty()) {
    mFault = aMessage;
  }
}

Result<Success>
ToolInput::Check() const
{
  if (mFault.empty()) {
    return Success{};
  }
  return Error{ Step::Settings, ErrorCode::InvalidInput, "", mFault };
}

ToolInput
ToolInput::WithWords(std::vector<std::string> aWords) const
{
  return { std::move(aWords), mFlags };
}

} // namespace verbenachute
