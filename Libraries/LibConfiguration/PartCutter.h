#pragma once

#include <LibConfiguration/ConfigurationDocument.h>
#include <LibConfiguration/EncodedConfiguration.h>

namespace verbenachute {

/// Collects the entries of one section into parts. A part ends where the hash
/// of a name says so, hence a change moves few cuts and most parts of the
/// next revision are those of the last one.
class PartCutter
{
public:
  /// aKnown has parts that are in the store, by digest. It and aEncoded, which
  /// takes the parts, must outlive the cutter.
  PartCutter(std::string aSection,
             const std::map<std::string, PartName>& aKnown,
             std::string aTag,
             EncodedConfiguration* aEncoded);

  /// TooLarge if the entry does not fit into a part of its own.
  [[nodiscard]] Result<Success> Add(const ConfigurationDocument::Entry& aEntry);
  /// Ends the part that is being collected.
  void Close();

private:
  std::string mSection;
  const std::map<std::string, PartName>& mKnown;
  std::string mTag;
  EncodedConfiguration* mEncoded;
  std::string mEntries;
};

} // namespace verbenachute
