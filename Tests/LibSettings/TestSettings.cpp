#include <LibSettings/EnvironmentSettings.h>
#include <LibSettings/Settings.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

RawSettings
ValidSettings()
{
  return { { "name", "node-1" },
           { "region", "sul-rs" },
           { "failure_domain", "caxias-a" },
           { "caller_address", "127.0.0.1:7001" },
           { "peer_address", "127.0.0.1:7101" },
           { "operator_address", "127.0.0.1:7201" },
           { "platform", "127.0.0.1:7900" } };
}

} // namespace

TEST_CASE("Valid settings are accepted and the others have their defaults")
{
  RawSettings raw = ValidSettings();
  raw["seeds"] = "127.0.0.1:7102,127.0.0.1:7103";
  raw["domains"] = "caxias-a=sul-rs,bento-c=sul-rs";
  const Result<Settings> settings = Settings::Create(raw);
  REQUIRE(!IsError(settings));
  CHECK(ValueOf(settings).Name() == NodeName("node-1"));
  CHECK(ValueOf(settings).Seeds().size() == 2);
  REQUIRE(ValueOf(settings).Domains().size() == 2);
  CHECK(ValueOf(settings).Domains().at(FailureDomain("bento-c")) ==
        Region("sul-rs"));
  CHECK(ValueOf(settings).AddressValidity() == milliseconds(5000));
}

TEST_CASE("The error for an invalid setting names the setting")
{
  const std::pair<const char*, const char*> cases[] = {
    { "name", "" },
    { "name", "a b" },
    { "caller_address", "localhost:1" },
    { "platform", "127.0.0.1" },
    { "seeds", "127.0.0.1:1," },
    { "domains", "caxias-a" },
    { "domains", "caxias-a=sul-rs," },
    { "domains", "caxias-a=" },
    { "address_validity_ms", "99" },
    { "address_validity_ms", "60001" },
    { "drain_limit_ms", "1s" },
    { "hedge_policy", "always" },
    { "extra_load_per_mille", "-1" },
  };
  for (const std::pair<const char*, const char*>& change : cases) {
    CAPTURE(change.first);
    RawSettings raw = ValidSettings();
    raw[change.first] = change.second;
    const Result<Settings> settings = Settings::Create(raw);
    REQUIRE(IsError(settings));
    CHECK(ErrorOf(settings).mMessage.find(change.first) != std::string::npos);
  }
  RawSettings raw = ValidSettings();
  raw["hedges"] = "1";
  CHECK(IsError(Settings::Create(raw)));
}

TEST_CASE("Environment variables set settings, and an unknown name is an error")
{
  const char* known[] = { "PATH=/bin", "VERBENACHUTE_NAME=node-2", nullptr };
  const Result<RawSettings> settings = ReadEnvironmentSettings(known);
  REQUIRE(!IsError(settings));
  CHECK(ValueOf(settings).at("name") == "node-2");
  const char* unknown[] = { "VERBENACHUTE_NAMES=x", nullptr };
  CHECK(IsError(ReadEnvironmentSettings(unknown)));
}

} // namespace verbenachute
