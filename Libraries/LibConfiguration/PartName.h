#pragma once

#include <LibCore/Error.h>

#include <string>
#include <string_view>
#include <tuple>

namespace verbenachute {

/// Prefix of the keys of the parts.
inline constexpr std::string_view kPartKeyPrefix =
  "verbenachute/configuration/parts/";

/// Name of one part: the digest of its content and a tag of the attempt that
/// wrote it. Two writers never share a name, so that one who lost a race can
/// delete its parts without taking those of the winner.
struct PartName
{
  /// 32 hexadecimal digits; see ContentDigest.
  std::string mDigest;
  /// 16 hexadecimal digits.
  std::string mTag;

  friend bool operator==(const PartName&, const PartName&) = default;
  friend bool operator<(const PartName& aLeft, const PartName& aRight)
  {
    return std::tie(aLeft.mDigest, aLeft.mTag) <
           std::tie(aRight.mDigest, aRight.mTag);
  }

  /// "DIGEST.TAG".
  [[nodiscard]] std::string Text() const;
  /// The key in the platform's store.
  [[nodiscard]] std::string Key() const;
  /// Reads what Text writes; anything else is InvalidInput.
  [[nodiscard]] static Result<PartName> Create(std::string_view aText);
};

/// A tag that differs for each writer and attempt.
[[nodiscard]] std::string
PartTag(std::string_view aWriterAndAttempt);

} // namespace verbenachute
