#pragma once

#include <LibConfiguration/PartName.h>
#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>

#include <string>
#include <string_view>
#include <vector>

namespace verbenachute {

/// Key of the head in the platform's store.
inline constexpr std::string_view kHeadKey = "verbenachute/configuration/head";
/// Maximum size of a value. The store accepts 1 MiB; the rest is for the JSON
/// around the value and for escapes.
inline constexpr std::size_t kStoreValueBytes = 900'000;

/// A part that no later revision uses.
struct RetiredPart
{
  PartName mName;
  /// First revision without the part.
  Revision mSince;

  friend bool operator==(const RetiredPart&, const RetiredPart&) = default;
};

/// Names the parts of one revision. The revision is accepted when its head has
/// been written.
struct ConfigurationHead
{
  Revision mRevision;
  /// All parts, in the order of the document.
  std::vector<PartName> mParts;
  /// Parts that are kept in the store for nodes that read an earlier head.
  std::vector<RetiredPart> mRetired;

  friend bool operator==(const ConfigurationHead&,
                         const ConfigurationHead&) = default;

  [[nodiscard]] std::string Text() const;
  /// Reads what Text writes. InvalidInput or TooLarge if the text is damaged,
  /// incomplete or of an unknown format.
  [[nodiscard]] static Result<ConfigurationHead> Create(std::string_view aText);
};

} // namespace verbenachute
