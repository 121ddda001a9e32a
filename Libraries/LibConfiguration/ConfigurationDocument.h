#pragma once

#include <LibConfiguration/Configuration.h>

#include <json/value.h>
#include <string>
#include <vector>

namespace verbenachute {

/// The entries of a configuration as JSON, section by section. The whole
/// document and the parts in the store hold the same entries.
class ConfigurationDocument
{
public:
  struct Entry
  {
    /// Name of the subject; PartCutter hashes it.
    std::string mName;
    Json::Value mValue;
  };

  struct Section
  {
    std::string mName;
    std::vector<Entry> mEntries;
  };

  /// The non-empty sections in the order of the document.
  [[nodiscard]] static std::vector<Section> Sections(
    const ConfigurationContent& aContent);

  /// Adds an entry to the content. Fails with InvalidInput for a malformed or
  /// duplicate entry or an unknown section.
  [[nodiscard]] Result<Success> Add(const std::string& aSection,
                                    const Json::Value& aEntry);

  /// The configuration with all added entries. Fails with InvalidInput if they
  /// are inconsistent.
  [[nodiscard]] Result<std::shared_ptr<const Configuration>> Build(
    Revision aRevision);

  /// Whether the name is that of a section.
  [[nodiscard]] static bool IsSection(const std::string& aName);

private:
  using Adder = Result<Success> (ConfigurationDocument::*)(const Json::Value&);

  struct SectionKind
  {
    const char* mName;
    Adder mAdd;
    std::vector<Entry> (*mEntries)(const ConfigurationContent&);
  };

  [[nodiscard]] static const std::vector<SectionKind>& Kinds();

  [[nodiscard]] Result<Success> AddDomain(const Json::Value& aValue);
  [[nodiscard]] Result<Success> AddTarget(const Json::Value& aValue);
  [[nodiscard]] Result<Success> AddLabels(const Json::Value& aValue);
  [[nodiscard]] Result<Success> AddSelector(const Json::Value& aValue);
  [[nodiscard]] Result<Success> AddRule(const Json::Value& aValue);
  [[nodiscard]] Result<Success> AddProposal(const Json::Value& aValue);
  [[nodiscard]] Result<Success> AddHistory(const Json::Value& aValue);
  [[nodiscard]] Result<Success> CheckTargets() const;

  ConfigurationContent mContent;
  std::vector<TargetEntry> mTargets;
  std::map<TargetName, LabelSet> mTargetLabels;
};

} // namespace verbenachute
