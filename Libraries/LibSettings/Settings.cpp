#include <LibSettings/Settings.h>

#include <LibCore/SocketAddressText.h>
#include <LibSettings/SettingTable.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace verbenachute {

namespace {

constexpr std::size_t kMaximumNameBytes = 64;

bool
IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
         aCharacter == '_' || aCharacter == '.';
}

bool
IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaximumNameBytes &&
         std::all_of(aText.begin(), aText.end(), IsNameCharacter);
}

// Parses and validates settings one by one and keeps the first error. After an
// error the returned values are placeholders.
class SettingsReader
{
public:
  explicit SettingsReader(const RawSettings& aRaw)
    : mRaw(aRaw)
  {
  }

  std::string Name(const char* aName)
  {
    std::string text = TextOf(aName);
    if (!IsName(text)) {
      Reject(aName, text);
    }
    return text;
  }

  SocketAddress Address(const char* aName)
  {
    const std::string text = TextOf(aName);
    const Result<SocketAddress> address = ParseSocketAddress(text);
    if (IsError(address)) {
      Reject(aName, text);
      return {};
    }
    return ValueOf(address);
  }

  std::vector<SocketAddress> Addresses(const char* aName)
  {
    const std::string text = TextOf(aName);
    std::vector<SocketAddress> addresses;
    if (text == "none") {
      return addresses;
    }
    std::size_t begin = 0;
    while (begin <= text.size()) {
      const std::size_t end = std::min(text.find(',', begin), text.size());
      const Result<SocketAddress> address =
        ParseSocketAddress(std::string_view(text).substr(begin, end - begin));
      if (IsError(address)) {
        Reject(aName, text);
        return {};
      }
      addresses.push_back(ValueOf(address));
      begin = end + 1;
    }
    return addresses;
  }

  std::map<FailureDomain, Region> Domains(const char* aName)
  {
    std::map<FailureDomain, Region> domains;
    const std::string text = TextOf(aName);
    if (text == "none") {
      return domains;
    }
    std::size_t begin = 0;
    while (begin <= text.size()) {
      const std::size_t end = std::min(text.find(',', begin), text.size());
      const std::string entry = text.substr(begin, end - begin);
      const std::size_t equals = std::min(entry.find('='), entry.size());
      const std::string domain = entry.substr(0, equals);
      const std::string region =
        equals < entry.size() ? entry.substr(equals + 1) : "";
      if (!IsName(domain) || !IsName(region)) {
        Reject(aName, text);
        return {};
      }
      domains.emplace(FailureDomain(domain), Region(region));
      begin = end + 1;
    }
    return domains;
  }

  std::uint32_t Number(const char* aName,
                       std::uint32_t aMinimum,
                       std::uint32_t aMaximum)
  {
    const std::string text = TextOf(aName);
    std::uint32_t number = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result read =
      std::from_chars(text.data(), end, number);
    if (text.empty() || read.ec != std::errc() || read.ptr != end ||
        number < aMinimum || number > aMaximum) {
      Reject(aName, text);
      return aMinimum;
    }
    return number;
  }

  std::optional<SocketAddress> OptionalAddress(const char* aName)
  {
    if (TextOf(aName) == "none") {
      return std::nullopt;
    }
    return Address(aName);
  }

  double Decimal(const char* aName, double aMinimum, double aMaximum)
  {
    const std::string text = TextOf(aName);
    double number = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result read =
      std::from_chars(text.data(), end, number);
    if (text.empty() || read.ec != std::errc() || read.ptr != end ||
        !(number >= aMinimum && number <= aMaximum)) {
      Reject(aName, text);
      return aMinimum;
    }
    return number;
  }

  Duration Seconds(const char* aName, double aMinimum, double aMaximum)
  {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Decimal(aName, aMinimum, aMaximum)));
  }

  std::string OneOf(const char* aName,
                    std::initializer_list<const char*> aAllowed)
  {
    std::string text = TextOf(aName);
    if (std::find(aAllowed.begin(), aAllowed.end(), text) == aAllowed.end()) {
      Reject(aName, text);
    }
    return text;
  }

  void RejectUnknown()
  {
    for (const RawSettings::value_type& entry : mRaw) {
      const std::span<const SettingDescription> table = SettingTable();
      const bool known = std::any_of(
        table.begin(), table.end(), [&](const SettingDescription& aSetting) {
          return entry.first == aSetting.mName;
        });
      if (!known && !mFirstError.has_value()) {
        mFirstError = Error{ Step::Settings,
                             ErrorCode::InvalidInput,
                             "",
                             "setting '" + entry.first + "' is unknown" };
      }
    }
  }

  [[nodiscard]] const std::optional<Error>& FirstError() const
  {
    return mFirstError;
  }

private:
  std::string TextOf(const char* aName) const
  {
    const auto found = mRaw.find(aName);
    if (found != mRaw.end()) {
      return found->second;
    }
    return DescriptionOf(aName).mDefault;
  }

  void Reject(const char* aName, const std::string& aText)
  {
    if (mFirstError.has_value()) {
      return;
    }
    mFirstError =
      Error{ Step::Settings,
             ErrorCode::InvalidInput,
             "",
             std::string("--") + aName + ": '" + aText +
               "' is not allowed; allowed: " + DescriptionOf(aName).mAllowed };
  }

  const RawSettings& mRaw;
  std::optional<Error> mFirstError;
};

} // namespace

Result<Settings>
Settings::Create(const RawSettings& aRaw)
{
  SettingsReader reader(aRaw);
  Settings settings;
  settings.mName = NodeName(reader.Name("name"));
  settings.mRegion = Region(reader.Name("region"));
  settings.mDomain = FailureDomain(reader.Name("failure_domain"));
  settings.mCallerAddress = reader.Address("caller_address");
  settings.mPeerAddress = reader.Address("peer_address");
  settings.mGatherAddress = reader.OptionalAddress("gather_address");
  settings.mOperatorAddress = reader.Address("operator_address");
  settings.mPlatformAddress = reader.Address("platform");
  settings.mSeeds = reader.Addresses("seeds");
  settings.mDomains = reader.Domains("domains");
  settings.mAddressValidity =
    milliseconds(reader.Number("address_validity_ms", 100, 60'000));
  settings.mTicketValidity =
    milliseconds(reader.Number("ticket_validity_ms", 1000, 3'600'000));
  settings.mDrainLimit =
    milliseconds(reader.Number("drain_limit_ms", 100, 600'000));
  settings.mQueryLimit = reader.Number("query_limit", 1, 100'000);
  settings.mHedgePolicy =
    reader.OneOf("hedge_policy", { "adaptive", "fixed", "none" });
  settings.mExtraLoadPerMille = reader.Number("extra_load_per_mille", 0, 1000);
  settings.mDispatch = reader.OneOf("dispatch", { "holders", "direct" });
  settings.mReadyAddress = reader.OptionalAddress("ready_address");
  settings.mDirectoryAddress = reader.OptionalAddress("directory_address");
  settings.mRetryRatio = reader.Decimal("retry_ratio", 0, 1);
  settings.mRetryWindow = reader.Seconds("retry_window_s", 1, 3600);
  settings.mRetrySlack = reader.Decimal("retry_slack", 0, 1'000'000);
  settings.mQuotaWindow = reader.Seconds("quota_window_s", 1, 3600);
  settings.mQuotaOvershoot = reader.Decimal("quota_overshoot", 0, 1);
  settings.mQuotaSlack = reader.Decimal("quota_slack", 0, 1'000'000);
  settings.mCanaryShare = reader.Decimal("canary_share", 0, 1);
  settings.mCanarySlack = reader.Decimal("canary_slack", 0, 1'000'000);
  settings.mRollbackTime =
    milliseconds(reader.Number("rollback_ms", 1, 3'600'000));
  settings.mMemory = reader.Number("memory_mb", 0, 1'000'000);
  settings.mDescriptors = reader.Number("descriptors", 0, 10'000'000);
  settings.mGrace = reader.Seconds("grace_s", 0.5, 3600);
  settings.mProcessorPower = static_cast<std::uint32_t>(
    std::max(1.0,
             1000 * reader.Decimal("processor_share", 0.001, 1000) *
               reader.Decimal("processor_speed", 0.001, 1000)));
  settings.mLoadAdmission =
    reader.OneOf("load_admission", { "auto", "off", "on" });
  settings.mGathering = reader.OneOf("gathering", { "near", "direct" });
  settings.mPartialAnswers =
    reader.OneOf("partial_answers", { "at_objective", "last" });
  reader.RejectUnknown();
  if (reader.FirstError().has_value()) {
    return *reader.FirstError();
  }
  return settings;
}

} // namespace verbenachute
