#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/EncodedConfiguration.h>

#include <memory>
#include <string>
#include <string_view>

namespace verbenachute {

/// Writes a configuration as content-addressed parts and a head, or as one
/// whole document, and reads both back.
class ConfigurationCodec
{
public:
  /// Largest whole document that is read, in bytes.
  static constexpr std::size_t kDocumentBytes = 64'000'000;

  /// Parts that the base already has keep their names; the others carry
  /// aTag. Parts of the base that are no longer used become retired. TooLarge
  /// if an entry or the head is larger than a value of the store.
  [[nodiscard]] static Result<EncodedConfiguration> Encode(
    const Configuration& aConfiguration,
    const ConfigurationHead& aBase,
    const std::string& aTag);

  /// Reads the parts that the head names. A part that is missing, damaged or
  /// malformed is an InvalidInput error; nothing of the others is used then.
  [[nodiscard]] static Result<std::shared_ptr<const Configuration>> Decode(
    const ConfigurationHead& aHead,
    const ConfigurationParts& aParts);

  /// The whole document as indented JSON, for people and bootstrapping.
  [[nodiscard]] static std::string DocumentText(
    const Configuration& aConfiguration);
  /// Reads a whole document; a missing revision is 1.
  [[nodiscard]] static Result<std::shared_ptr<const Configuration>>
  ParseDocument(std::string_view aText);
};

} // namespace verbenachute
