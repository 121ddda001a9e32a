#pragma once

#include <LibConfiguration/ConfigurationDocument.h>
#include <LibConfiguration/EncodedConfiguration.h>

namespace verbenachute {

/// Divides the entries of one section into parts by content-defined chunking: a
/// hash of the name decides whether a part ends. A change thus moves few
/// boundaries, and most parts are shared with the previous revision.
class PartCutter
{
public:
  /// aKnown holds the parts that are in the store, by digest. It and aEncoded,
  /// to which the parts are added, must outlive the cutter.
  PartCutter(std::string aSection,
             const std::map<std::string, PartName>& aKnown,
             std::string aTag,
             EncodedConfiguration* aEncoded);

  /// Fails with TooLarge if the entry alone exceeds the size of a part.
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
