#include <LibConfiguration/ConfigurationCodec.h>

#include <LibConfiguration/ConfigurationDocument.h>
#include <LibConfiguration/ContentDigest.h>
#include <LibConfiguration/JsonObjectReader.h>
#include <LibConfiguration/PartCutter.h>
#include <LibJson/JsonText.h>

#include <set>

namespace verbenachute {

namespace {

constexpr std::uint64_t kFormat = 1;

Error
DamagedPart(const PartName& aName, const char* aMessage)
{
  return Error{ Step::Configuration,
                ErrorCode::InvalidInput,
                "",
                "configuration part " + aName.Text() + " " + aMessage };
}

/// Lists what the base had retired or used and the new head does not use.
void
RetireParts(const ConfigurationHead& aBase, ConfigurationHead* aHead)
{
  const std::set<PartName> used(aHead->mParts.begin(), aHead->mParts.end());
  aHead->mRetired = aBase.mRetired;
  for (const PartName& part : aBase.mParts) {
    if (!used.contains(part)) {
      aHead->mRetired.push_back({ part, aHead->mRevision });
    }
  }
}

Result<Success>
AddPart(const std::string& aText, ConfigurationDocument* aDocument)
{
  const Result<Json::Value> parsed = ParseJson(aText, kStoreValueBytes);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  JsonObjectReader reader(ValueOf(parsed), "configuration part");
  const std::string section = reader.Text("section");
  for (const Json::Value* entry : reader.Elements("entries")) {
    Result<Success> added = aDocument->Add(section, *entry);
    if (IsError(added)) {
      return added;
    }
  }
  return reader.Finish();
}

} // namespace

Result<EncodedConfiguration>
ConfigurationCodec::Encode(const Configuration& aConfiguration,
                           const ConfigurationHead& aBase,
                           const std::string& aTag)
{
  std::map<std::string, PartName> known;
  for (const PartName& part : aBase.mParts) {
    known.emplace(part.mDigest, part);
  }
  EncodedConfiguration encoded;
  encoded.mHead.mRevision = aConfiguration.CurrentRevision();
  for (const ConfigurationDocument::Section& section :
       ConfigurationDocument::Sections(aConfiguration.Content())) {
    PartCutter cutter(section.mName, known, aTag, &encoded);
    for (const ConfigurationDocument::Entry& entry : section.mEntries) {
      Result<Success> added = cutter.Add(entry);
      if (IsError(added)) {
        return ErrorOf(added);
      }
    }
    cutter.Close();
  }
  RetireParts(aBase, &encoded.mHead);
  if (encoded.mHead.Text().size() > kStoreValueBytes) {
    return Error{ Step::Configuration,
                  ErrorCode::TooLarge,
                  "",
                  "the configuration has too many parts" };
  }
  return encoded;
}

Result<std::shared_ptr<const Configuration>>
ConfigurationCodec::Decode(const ConfigurationHead& aHead,
                           const ConfigurationParts& aParts)
{
  ConfigurationDocument document;
  for (const PartName& name : aHead.mParts) {
    const auto part = aParts.find(name);
    if (part == aParts.end()) {
      return DamagedPart(name, "is missing");
    }
    if (ContentDigest(*part->second) != name.mDigest) {
      return DamagedPart(name, "has another digest");
    }
    Result<Success> added = AddPart(*part->second, &document);
    if (IsError(added)) {
      return ErrorOf(added);
    }
  }
  return document.Build(aHead.mRevision);
}

std::string
ConfigurationCodec::DocumentText(const Configuration& aConfiguration)
{
  Json::Value value;
  value["format"] = Json::UInt64(kFormat);
  value["revision"] = Json::UInt64(aConfiguration.CurrentRevision().value());
  for (const ConfigurationDocument::Section& section :
       ConfigurationDocument::Sections(aConfiguration.Content())) {
    for (const ConfigurationDocument::Entry& entry : section.mEntries) {
      value[section.mName].append(entry.mValue);
    }
  }
  return IndentedJson(value);
}

Result<std::shared_ptr<const Configuration>>
ConfigurationCodec::ParseDocument(std::string_view aText)
{
  const Result<Json::Value> parsed = ParseJson(aText, kDocumentBytes);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  JsonObjectReader reader(ValueOf(parsed), "configuration");
  ConfigurationDocument document;
  const std::uint64_t format = reader.NumberOr("format", kFormat);
  const Revision revision(reader.NumberOr("revision", 1));
  const std::vector<std::string> names = ValueOf(parsed).isObject()
                                           ? ValueOf(parsed).getMemberNames()
                                           : std::vector<std::string>{};
  for (const std::string& name : names) {
    if (!ConfigurationDocument::IsSection(name)) {
      continue;
    }
    for (const Json::Value* entry : reader.Elements(name.c_str())) {
      Result<Success> added = document.Add(name, *entry);
      if (IsError(added)) {
        return ErrorOf(added);
      }
    }
  }
  Result<Success> finished = reader.Finish();
  if (IsError(finished)) {
    return ErrorOf(finished);
  }
  if (format != kFormat) {
    return Error{ Step::Configuration,
                  ErrorCode::InvalidInput,
                  "",
                  "configuration: unknown format" };
  }
  return document.Build(revision);
}

} // namespace verbenachute
