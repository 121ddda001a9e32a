#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/EncodedConfiguration.h>

#include <memory>
#include <string>
#include <string_view>

namespace verbenachute {

/// Serializes a configuration as content-addressed parts and a head, or as a
/// single document, and parses both.
class ConfigurationCodec
{
public:
  /// Maximum size of a document that is parsed, in bytes.
  static constexpr std::size_t kDocumentBytes = 64'000'000;

  /// Parts that the base already has keep their names; the others carry
  /// aTag. Parts of the base that are no longer used become retired. TooLarge
  /// if an entry or the head is larger than a value of the store.
  [[nodiscard]] static Result<EncodedConfiguration> Encode(
    const Configuration& aConfiguration,
    const ConfigurationHead& aBase,
    const std::string& aTag);

  /// Reads the parts that the head names. Fails with InvalidInput if any of
  /// them is missing, damaged or malformed.
  [[nodiscard]] static Result<std::shared_ptr<const Configuration>> Decode(
    const ConfigurationHead& aHead,
    const ConfigurationParts& aParts);

  /// The document as indented JSON, for operators and bootstrapping.
  [[nodiscard]] static std::string DocumentText(
    const Configuration& aConfiguration);
  /// Parses a document; a missing revision counts as 1.
  [[nodiscard]] static Result<std::shared_ptr<const Configuration>>
  ParseDocument(std::string_view aText);
};

} // namespace verbenachute
